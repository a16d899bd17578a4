package admitter

import (
	"container/heap"
	"time"
)

// queue is a heap of the waiting requests of one institution, with the earliest
// deadline first. It implements heap.Interface.
type queue []*Ticket

// Len implements heap.Interface.
func (q queue) Len() int {
	return len(q)
}

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	return q[i].deadline.Before(q[j].deadline)
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return t
}

// remove removes a ticket from any position in the queue.
func (q *queue) remove(t *Ticket) {
	heap.Remove(q, t.heapIndex)
}

// expired returns the tickets that have waited for their longest time. They stay
// in the queue.
func (q queue) expired(now time.Time) []*Ticket {
	var out []*Ticket
	for _, t := range q {
		if !now.Before(t.expires) {
			out = append(out, t)
		}
	}
	return out
}
