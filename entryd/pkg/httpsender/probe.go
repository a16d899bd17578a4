package httpsender

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"time"
)

// Probe opens a connection of its own and asks the target at a path whether it is healthy. An
// answer shows that the target is reached, whatever it says, and may name the process that
// gave it; Probe returns an error otherwise. An open connection shows less, because an
// intermediary may have accepted it. Without a path, it is enough that the connection stays
// open.
func (cl *Client) Probe(ctx context.Context, path string) (process string, err error) {
	nc, err := cl.dial(ctx, "tcp", cl.address)
	if err != nil {
		return "", fmt.Errorf("target %s: probe: connect: %w", cl.address, err)
	}
	defer func() { _ = nc.Close() }()
	if path == "" {
		if closedWithin(nc, closeWait) {
			return "", fmt.Errorf("target %s: probe: connection was closed at once: %w", cl.address, ErrUnreachable)
		}
		return "", nil
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err = fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", http.MethodGet, path, cl.address); err != nil {
		return "", fmt.Errorf("target %s: probe: send: %w", cl.address, err)
	}
	limited := &readLimiter{
		Reader: nc,
		left:   headLimit,
	}
	//nolint:bodyclose // The connection is closed.
	resp, err := http.ReadResponse(bufio.NewReaderSize(limited, readBufferSize), nil)
	if err != nil {
		return "", fmt.Errorf("target %s: probe: read answer: %w", cl.address, err)
	}
	return resp.Header.Get(cl.headers.Process), nil
}
