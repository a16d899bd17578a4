// Command loadgen puts an open-loop load on a query tier, verifies the answers
// and reports latency, coverage and the number of extra sub-requests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"plantaincleat/loadgen/pkg/loadgencommander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := loadgencommander.New().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}
