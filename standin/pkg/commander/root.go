// Package commander holds the command line of the stand-ins.
package commander

import (
	"net"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// New returns the root command with one subcommand for each stand-in.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Stand-ins for the platform and the targets, for tests",
		SilenceUsage: true,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(subcommands()...)
	return root
}

// subcommands lists the stand-ins.
func subcommands() []*cobra.Command {
	return []*cobra.Command{
		newKV(),
		newTarget(),
		newRelay(),
		newHosts(),
	}
}

// listen opens a TCP listener on an IP address with a port.
func listen(flag, address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "flag --%s: address %q", flag, address)
	}
	if net.ParseIP(host) == nil {
		return nil, eris.Errorf("flag --%s: %q is not an IP address", flag, host)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "flag --%s", flag)
	}
	return l, nil
}
