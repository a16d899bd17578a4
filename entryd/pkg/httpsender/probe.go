package httpsender

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"time"
)

// Probe opens a connection of its own and asks the target at a path whether it is healthy. An
// answer shows that the target is reached, whatever it says; Probe returns its status and
// headers, and an error if there is none. An open connection shows less, because an
// intermediary may have accepted it. Without a path, it is enough that the connection stays
// open, and the answer is empty.
func (cl *Client) Probe(ctx context.Context, path string) (*Answer, error) {
	nc, err := cl.dial(ctx, "tcp", cl.address)
	if err != nil {
		return nil, fmt.Errorf("target %s: probe: connect: %w", cl.address, err)
	}
	defer func() { _ = nc.Close() }()
	if path == "" {
		if closedWithin(nc, closeWait) {
			return nil, fmt.Errorf("target %s: probe: connection was closed at once: %w", cl.address, ErrUnreachable)
		}
		return &Answer{}, nil
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err = fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", http.MethodGet, path, cl.address); err != nil {
		return nil, fmt.Errorf("target %s: probe: send: %w", cl.address, err)
	}
	limited := &readLimiter{
		Reader: nc,
		left:   headLimit,
	}
	reader := bufio.NewReaderSize(limited, readBufferSize)
	for range maxStrayAnswers {
		//nolint:bodyclose // The connection is closed.
		resp, err := readHead(reader, http.MethodGet)
		if err != nil {
			return nil, fmt.Errorf("target %s: probe: read answer: %w", cl.address, err)
		}
		if IsFinal(resp.StatusCode) {
			return &Answer{
				Status: resp.StatusCode,
				Header: resp.Header,
			}, nil
		}
	}
	return nil, fmt.Errorf("target %s: probe: %w", cl.address, errStrayAnswers)
}
