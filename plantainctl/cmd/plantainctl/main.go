// Command plantainctl is the operators' tool of the query tier.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"plantaincleat/plantainctl/pkg/ctlcommander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctlcommander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
