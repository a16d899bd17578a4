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

// callTimeout bounds one call of a daemon, so that the next one can be asked.
const callTimeout = 3 * time.Second

// checkFlags refuses shared flags that make no sense.
func (t *tool) checkFlags(*cobra.Command) error {
	if t.output != outputTable && t.output != outputJSON {
		return fmt.Errorf("flag --output: %q is not one of table, json", t.output)
	}
	if t.timeout <= 0 {
		return fmt.Errorf("flag --timeout: %s is not positive", t.timeout)
	}
	if (t.certificate == "") != (t.key == "") || (t.certificate == "") != (t.ca == "") {
		return fmt.Errorf("flags --ca, --certificate and --key go together")
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

// requireAddresses refuses a command without a list of addresses that it depends on.
func requireAddresses(flag string, addresses []string) error {
	if len(addresses) == 0 {
		return fmt.Errorf("flag --%s is needed", flag)
	}
	return nil
}

func (t *tool) tlsProvider() (*tlsprovider.Provider, error) {
	s, err := tlsprovider.New(&settings.Security{
		Certificate: t.certificate,
		Key:         t.key,
		Ca:          t.ca,
		Insecure:    t.insecure,
	}, t.clock)
	return s, eris.Wrap(err, "read certificates")
}

// openStore connects to the key-value service.
func openStore(t *tool) (storer.Store, error) {
	s, err := t.tlsProvider()
	if err != nil {
		return nil, err
	}
	return storer.DialEtcd(t.kv, grpc.WithTransportCredentials(s.ClientCredentials()))
}

// openWaiter returns a Waiter for the daemons' admin listeners.
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

// openAdminClient returns an Asker for the daemons' admin listeners.
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

// httpClient returns the HTTP client and the scheme of the admin listeners.
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
