package merger

import (
	"bytes"
	"container/heap"
	"slices"
)

// Top returns the n greatest records of the parts, greatest first, as one
// string of bytes. A record is width bytes long and compared byte by byte;
// equal records all count. What is left at the end of a part is no record.
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

// recordHeap is a heap with the least record on top.
type recordHeap [][]byte

// Len implements heap.Interface.
func (h recordHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }

// Swap implements heap.Interface.
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
