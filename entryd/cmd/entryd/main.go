// Command entryd is the daemon of the query tier.
package main

import (
	"os"

	"plantaincleat/entryd/pkg/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
