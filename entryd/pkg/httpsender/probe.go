package httpsender

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Probe opens a connection of its own and asks the target at a path whether it is healthy.
// Any byte of an answer shows that the target is reached, whatever the answer says; it
// returns an error otherwise. An open connection shows less, because an intermediary may
// have accepted it. Without a path, it is enough that the connection stays open.
func (cl *Client) Probe(ctx context.Context, path string) error {
	nc, err := cl.dial(ctx, "tcp", cl.address)
	if err != nil {
		return fmt.Errorf("target %s: probe: connect: %w", cl.address, err)
	}
	defer func() { _ = nc.Close() }()
	if path == "" {
		if closedWithin(nc, closeWait) {
			return fmt.Errorf("target %s: probe: connection was closed at once: %w", cl.address, ErrUnreachable)
		}
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_, err = fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", http.MethodGet, path, cl.address)
	if err == nil {
		_, err = nc.Read(make([]byte, 1))
	}
	if err != nil {
		return fmt.Errorf("target %s: probe: %w", cl.address, err)
	}
	return nil
}
