package logger

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the greatest number of lines that wait to be written.
const maxQueuedLines = 2048

// minBatchBytes is the size from which a batch is written without adding more
// waiting lines to it.
const minBatchBytes = 16 << 10

// BoundedWriter is a writer of log lines whose Write never blocks: it queues the
// line for a goroutine that writes. Lines are dropped and counted while the queue
// is full. Write and Dropped are safe for concurrent use.
type BoundedWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewBoundedWriter returns a BoundedWriter that writes to w until it is closed.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{
		lines: make(chan []byte, maxQueuedLines),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(b.done)
		for more := true; more; {
			var batch []byte
			batch, more = b.nextBatch()
			// The log itself is failing, so the error can not be logged.
			_, _ = w.Write(batch)
		}
	}()
	return b
}

// nextBatch waits for a line and returns it with the lines queued behind it, up to
// about minBatchBytes. It returns false once the writer is closed.
func (b *BoundedWriter) nextBatch() ([]byte, bool) {
	batch := <-b.lines
	if batch == nil {
		return nil, false
	}
	for len(batch) < minBatchBytes {
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

// Write implements io.Writer. It copies the line and never fails; a dropped line is
// only counted.
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

// Close writes the queued lines and stops the writer. Lines written later are never
// output.
func (b *BoundedWriter) Close() {
	b.lines <- nil
	<-b.done
}
