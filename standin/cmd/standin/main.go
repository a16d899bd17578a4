// Command standin runs stand-ins for the services around the query tier, for
// tests and measurements. No daemon links its packages.
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
