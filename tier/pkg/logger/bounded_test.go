package logger

import (
	"bytes"
	"fmt"
	"testing"
)

// blockingWriter is a buffer whose Write blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestBoundedWriterNeverBlocks(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	b := NewBoundedWriter(w)
	const lines = 3 * maxQueuedLines
	for i := range lines {
		if _, err := fmt.Fprintf(b, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if b.Dropped() == 0 {
		t.Error("no line was dropped while the queue was full")
	}
	close(w.release)
	b.Close()
	written := uint64(bytes.Count(w.Bytes(), []byte("\n")))
	if written+b.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped, want %d in all", written, b.Dropped(), lines)
	}
}
