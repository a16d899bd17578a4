package commander

import (
	"github.com/spf13/cobra"
)

// newKV returns the subcommand of the key-value service.
func newKV() *cobra.Command {
	return &cobra.Command{
		Use:   "kv",
		Short: "Serve the key-value service from memory",
		Args:  cobra.NoArgs,
	}
}
