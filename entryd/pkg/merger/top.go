package merger

import (
	"bytes"
	"container/heap"
	"slices"
)

// Top returns the n greatest records of the partials, greatest first, concatenated.
// Each partial is a sequence of records of width bytes. Records are compared byte by
// byte, and equal records are all kept. Bytes after the last complete record of a
// partial are ignored.
func Top(partials [][]byte, width, n int) []byte {
	var greatest recordHeap
	for _, partial := range partials {
		for ; len(partial) >= width; partial = partial[width:] {
			record := partial[:width]
			switch {
			case len(greatest) < n:
				heap.Push(&greatest, record)
			case n > 0 && bytes.Compare(record, greatest[0]) > 0:
				greatest[0] = record
				heap.Fix(&greatest, 0)
			}
		}
	}
	slices.SortFunc(greatest, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(greatest...)
}

// recordHeap is a heap.Interface whose first element is the smallest record.
type recordHeap [][]byte

// Len implements sort.Interface.
func (h recordHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }

// Swap implements sort.Interface.
func (h recordHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
