// Command standin runs small stand-ins of what surrounds the query tier, for
// tests and measurements. It is never linked into the daemon.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"plantaincleat/standin/pkg/standincommander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := standincommander.New().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}
