// Package standincommander implements the command line of the stand-ins.
package standincommander

import (
	"net"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/tier/gen/settings"
	"plantaincleat/tier/pkg/tlsprovider"
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

// subcommands returns the subcommands, one for each stand-in.
func subcommands() []*cobra.Command {
	return []*cobra.Command{
		newKV(),
		newTarget(),
		newRelay(),
		newHosts(),
		newPlatform(),
	}
}

// tlsFlags are the TLS flags of a stand-in. Without them it serves plain text.
type tlsFlags struct {
	files settings.Security
}

func (f *tlsFlags) add(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&f.files.Certificate, "certificate", "", "PEM file of the certificate; plain text without it")
	flags.StringVar(&f.files.Key, "key", "", "PEM file of the certificate's key")
	flags.StringVar(&f.files.Ca, "ca", "", "PEM file of the CA that signs client certificates")
}

// newProvider reads the files that the flags name. It returns nil, which stands
// for plain text, if they name none.
func (f *tlsFlags) newProvider() (*tlsprovider.Provider, error) {
	given := f.files.GetCertificate() != ""
	if given != (f.files.GetKey() != "") || given != (f.files.GetCa() != "") {
		return nil, eris.New("flags --certificate, --key and --ca must be given together")
	}
	return tlsprovider.New(&f.files, clockwork.NewRealClock())
}

// listen opens a TCP listener on address, which must be an IP address with a
// port. Errors name the flag.
func listen(flag, address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "flag --%s: parse address %q", flag, address)
	}
	if net.ParseIP(host) == nil {
		return nil, eris.Errorf("flag --%s: %q is not an IP address", flag, host)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "flag --%s: open listener", flag)
	}
	return l, nil
}
