package logger

import (
	"bytes"
	"fmt"
	"testing"
)

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestBoundedNeverBlocks(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	b := NewBoundedWriter(w)
	const lines = 3 * boundedLines
	for i := range lines {
		if _, err := fmt.Fprintf(b, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if b.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(w.release)
	b.Close()
	written := uint64(bytes.Count(w.Bytes(), []byte("\n")))
	if written+b.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped of %d", written, b.Dropped(), lines)
	}
}
