// Command entryd is the daemon of the query tier.
package main

import (
	"os"

	"plantaincleat/entryd/pkg/entrydcommander"
)

func main() {
	os.Exit(entrydcommander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
