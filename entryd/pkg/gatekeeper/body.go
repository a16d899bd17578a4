package gatekeeper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// Errors of ReadBody. Nothing of the request was passed on.
var (
	// ErrTooLarge reports that the body is longer than allowed.
	ErrTooLarge = errors.New("request body is too large")
	// ErrLate reports that the body did not arrive in time.
	ErrLate = errors.New("request body did not arrive in time")
	// ErrNoRoom reports that the daemon has no room for the request.
	ErrNoRoom = errors.New("no room for the request")
)

// blockSize is the size of the blocks that bodies are read into, in bytes.
const blockSize = 16 << 10

// blocks holds blocks of blockSize bytes that are not in use.
var blocks = sync.Pool{
	New: func() any { return new([blockSize]byte) },
}

// ReadBody returns the body of a request, which has to arrive by end. What arrives is charged to the
// connection before it is read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, end time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, fmt.Errorf("%w: it exceeds %d bytes", ErrTooLarge, limit)
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// An error means that the server has no deadlines, as in a test without connections.
	_ = control.SetReadDeadline(end)
	in := &bodyReader{
		conn:  connOf(r.Context()),
		body:  r.Body,
		limit: limit,
	}
	body, err := in.readAll(r.ContentLength)
	if err != nil {
		return nil, in.explain(r.Context(), err)
	}
	// The server keeps reading while the request is handled, to detect that the caller has closed the
	// connection. That read must have no deadline.
	_ = control.SetReadDeadline(time.Time{})
	if in.conn != nil && !in.conn.requestEnded() {
		return nil, in.explain(r.Context(), ErrNoRoom)
	}
	return body, nil
}

// bodyReader reads the body of one request.
type bodyReader struct {
	// conn is nil without a keeper.
	conn  *conn
	body  io.Reader
	limit int64
	full  []*[blockSize]byte
}

// charge charges n bytes.
func (b *bodyReader) charge(n int64) error {
	if b.conn != nil && !b.conn.keeper.charge(b.conn, n) {
		return ErrNoRoom
	}
	return nil
}

// release gives back n bytes.
func (b *bodyReader) release(n int64) {
	if b.conn != nil {
		b.conn.keeper.release(b.conn, n)
	}
}

// readAll reads the body, whose length is declared, or negative. A body that fits into one block is
// read at once, others block by block, so that no more is held than has arrived.
func (b *bodyReader) readAll(length int64) ([]byte, error) {
	if 0 < length && length <= blockSize {
		return b.readShort(length)
	}
	defer b.freeBlocks()
	for {
		if err := b.charge(blockSize); err != nil {
			return nil, err
		}
		block := blocks.Get().(*[blockSize]byte)
		b.full = append(b.full, block)
		n, err := b.fill(block[:])
		size := int64(len(b.full)-1)*blockSize + int64(n)
		switch {
		case size > b.limit:
			return nil, fmt.Errorf("%w: it exceeds %d bytes", ErrTooLarge, b.limit)
		case errors.Is(err, io.EOF):
			return b.join(size)
		case err != nil:
			return nil, err
		}
	}
}

// readShort reads a body of a short length to its end.
func (b *bodyReader) readShort(length int64) ([]byte, error) {
	if err := b.charge(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	n, err := b.fill(body)
	if err == nil {
		// The end of the body lets the server watch the connection.
		_, err = b.fill(make([]byte, 1))
	}
	if !errors.Is(err, io.EOF) {
		b.release(length)
		return nil, err
	}
	return body[:n], nil
}

// fill reads until p is full or the body ends.
func (b *bodyReader) fill(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := b.body.Read(p[n:])
		n += m
		if b.conn != nil {
			b.conn.work.use(m)
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// join returns the body in one piece.
func (b *bodyReader) join(size int64) ([]byte, error) {
	if err := b.charge(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for _, block := range b.full {
		body = append(body, block[:min(int64(blockSize), size-int64(len(body)))]...)
	}
	return body, nil
}

// freeBlocks gives the blocks back.
func (b *bodyReader) freeBlocks() {
	for _, block := range b.full {
		blocks.Put(block)
	}
	b.release(int64(len(b.full)) * blockSize)
	b.full = nil
}

// explain returns the error for a body that was not read to its end.
func (b *bodyReader) explain(ctx context.Context, err error) error {
	if b.conn == nil {
		return err
	}
	switch {
	case errors.Is(err, ErrTooLarge):
		b.conn.keeper.count(func(c *Counts) { c.Oversized++ })
		return err
	case errors.Is(err, ErrNoRoom) || b.conn.isEvicted():
		return fmt.Errorf("read request body: %w", ErrNoRoom)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.keeper.count(func(c *Counts) { c.Late++ })
		return fmt.Errorf("read request body: %w", ErrLate)
	}
	return fmt.Errorf("read request body: %w", errors.Join(err, ctx.Err()))
}
