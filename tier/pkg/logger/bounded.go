package logger

import (
	"io"
	"sync/atomic"
)

// boundedLines is the number of lines that wait to be written.
const boundedLines = 2048

// batchBytes is the size in bytes from which lines are written at once.
const batchBytes = 16 << 10

// BoundedWriter is a writer of log lines that never blocks. Lines that find the queue
// full are dropped and counted.
type BoundedWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewBoundedWriter returns a Bounded that writes to w until it is closed.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{
		lines: make(chan []byte, boundedLines),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(b.done)
		for more := true; more; {
			var batch []byte
			batch, more = b.batch()
			// There is nowhere to report a failure to.
			_, _ = w.Write(batch)
		}
	}()
	return b
}

// batch returns the lines that wait, at least one, and false once the writer is
// closed.
func (b *BoundedWriter) batch() ([]byte, bool) {
	batch := <-b.lines
	if batch == nil {
		return nil, false
	}
	for len(batch) < batchBytes {
		select {
		case line := <-b.lines:
			if line == nil {
				return batch, false
			}
			batch = append(batch, line...)
		default:
			return batch, true
		}
	}
	return batch, true
}

// Write implements io.Writer.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// Close writes the lines that wait. Later lines are dropped.
func (b *BoundedWriter) Close() {
	b.lines <- nil
	<-b.done
}
