// Command plantainctl is the command-line tool with which operators configure and
// inspect the query tier.
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
