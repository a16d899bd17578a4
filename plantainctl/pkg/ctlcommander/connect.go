package ctlcommander

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"

	"plantaincleat/plantainctl/pkg/adminclient"
	"plantaincleat/plantainctl/pkg/revisionwaiter"
	"plantaincleat/tier/gen/settings"
	"plantaincleat/tier/pkg/storer"
	"plantaincleat/tier/pkg/tlsprovider"
)

// callTimeout is the time allowed for one call of a daemon. It is shorter than the
// default --timeout, so that time remains to call further daemons.
const callTimeout = 3 * time.Second

// checkFlags returns an error if a shared flag is invalid.
func (t *tool) checkFlags(*cobra.Command) error {
	if t.output != outputTable && t.output != outputJSON {
		return fmt.Errorf("flag --output: %q is not one of table, json", t.output)
	}
	if t.timeout <= 0 {
		return fmt.Errorf("flag --timeout: %s is not positive", t.timeout)
	}
	if (t.certificate == "") != (t.key == "") || (t.certificate == "") != (t.ca == "") {
		return fmt.Errorf("flags --ca, --certificate and --key must be given together")
	}
	for _, list := range []struct {
		flag      string
		addresses []string
	}{
		{
			flag:      "kv",
			addresses: t.kv,
		},
		{
			flag:      "entry",
			addresses: t.entries,
		},
	} {
		if err := t.checkAddresses(list.flag, list.addresses); err != nil {
			return err
		}
	}
	return nil
}

// checkAddresses returns an error if an address is not of the form IP:PORT, or if it is
// not a loopback address and neither TLS nor --insecure is in use.
func (t *tool) checkAddresses(flag string, addresses []string) error {
	for _, address := range addresses {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			return fmt.Errorf("flag --%s: %q is not an IP address with a port", flag, address)
		}
		if t.certificate == "" && !t.insecure && !a.Addr().IsLoopback() {
			return fmt.Errorf("flag --%s: %q is not a loopback address: give --ca, --certificate and --key, or --insecure", flag, address)
		}
	}
	return nil
}

// requireAddresses returns an error if the flag was given no addresses.
func requireAddresses(flag string, addresses []string) error {
	if len(addresses) == 0 {
		return fmt.Errorf("flag --%s is required", flag)
	}
	return nil
}

// tlsProvider returns the provider for the TLS flags, or nil without a certificate.
func (t *tool) tlsProvider() (*tlsprovider.Provider, error) {
	s, err := tlsprovider.New(&settings.Security{
		Certificate: t.certificate,
		Key:         t.key,
		Ca:          t.ca,
		Insecure:    t.insecure,
	}, t.clock)
	return s, eris.Wrap(err, "read certificates")
}

// openStore returns a store that connects to the key-value service.
func openStore(t *tool) (storer.Store, error) {
	s, err := t.tlsProvider()
	if err != nil {
		return nil, err
	}
	return storer.DialEtcd(t.kv, grpc.WithTransportCredentials(s.ClientCredentials()))
}

// openWaiter returns a waiter that polls the daemons' admin listeners.
func openWaiter(t *tool) (*revisionwaiter.Waiter, error) {
	client, scheme, err := t.httpClient()
	if err != nil {
		return nil, err
	}
	return &revisionwaiter.Waiter{
		HTTPClient: client,
		Scheme:     scheme,
		Clock:      t.clock,
	}, nil
}

// openAdminClient returns a client of the daemons' admin listeners.
func openAdminClient(t *tool) (*adminclient.Client, error) {
	client, scheme, err := t.httpClient()
	if err != nil {
		return nil, err
	}
	return &adminclient.Client{
		HTTPClient: client,
		Scheme:     scheme,
	}, nil
}

// httpClient returns an HTTP client for the admin listeners and their scheme.
func (t *tool) httpClient() (*http.Client, string, error) {
	s, err := t.tlsProvider()
	if err != nil {
		return nil, "", err
	}
	scheme := "http"
	if s != nil {
		scheme = "https"
	}
	return &http.Client{
		Timeout:   callTimeout,
		Transport: s.Transport(nil, t.insecure),
	}, scheme, nil
}
