package standincommander

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"plantaincleat/standin/pkg/hostlister"
	"plantaincleat/tier/pkg/tlsprovider"
)

// newHosts returns the subcommand that serves the host list.
func newHosts() *cobra.Command {
	var address, admin, file string
	security := &tlsFlags{}
	cmd := &cobra.Command{
		Use:   "hosts",
		Short: "Serve the list of live and leaving hosts",
		Long: "Serves a JSON array of hosts at GET /hosts. On the admin listener, POST /hosts,\n" +
			"POST /state and DELETE /hosts/ID change the list. POST /faults sets its lag in\n" +
			"milliseconds, an outage, or malformed answers.",
		Example: "  standin hosts --listen 127.0.0.1:8500 --admin 127.0.0.1:8501 --hosts hosts.json\n" +
			"  curl -d '{\"lag\":20000}' http://127.0.0.1:8501/faults\n" +
			"  curl -d '{\"id\":\"s1\",\"state\":\"leaving\"}' http://127.0.0.1:8501/state",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runHosts(cmd, address, admin, file, security)
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP address and port of the host list")
	cmd.Flags().StringVar(&admin, "admin", "127.0.0.1:0", "IP address and port of the admin listener")
	cmd.Flags().StringVar(&file, "hosts", "", "file with the initial hosts, a JSON array with comments")
	security.add(cmd)
	return cmd
}

// runHosts serves the host list until the context of cmd ends.
func runHosts(cmd *cobra.Command, address, admin, file string, security *tlsFlags) error {
	provider, err := security.newProvider()
	if err != nil {
		return err
	}
	hosts, err := readHosts(file)
	if err != nil {
		return err
	}
	list, err := hostlister.New(clockwork.NewRealClock(), hosts)
	if err != nil {
		return eris.Wrapf(err, "flag --hosts: file %s", file)
	}
	l, err := listen("listen", address)
	if err != nil {
		return err
	}
	adminListener, err := listen("admin", admin)
	if err != nil {
		_ = l.Close()
		return err
	}
	cmd.Printf("{\"listen\":%q,\"admin\":%q}\n", l.Addr(), adminListener.Addr())
	servers := []*http.Server{
		{
			Handler:           list.Handler(),
			ReadHeaderTimeout: headerTimeout,
		},
		{
			Handler:           list.Admin(),
			ReadHeaderTimeout: headerTimeout,
		},
	}
	failed := make(chan error, len(servers))
	go func() {
		failed <- eris.Wrap(servers[0].Serve(provider.WrapListener(l, tlsprovider.ClientAuthNone)), "serve host list")
	}()
	go func() { failed <- eris.Wrap(servers[1].Serve(adminListener), "serve admin listener") }()
	return closeWhenDone(cmd.Context(), servers, failed)
}

// closeWhenDone waits until ctx ends or a server fails, then closes all servers.
func closeWhenDone(ctx context.Context, servers []*http.Server, failed <-chan error) error {
	defer func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// readHosts reads the initial hosts from a file. It returns none if the name is
// empty.
func readHosts(file string) ([]hostlister.Host, error) {
	if file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "flag --hosts: read file")
	}
	standard, err := hujson.Standardize(b)
	if err != nil {
		return nil, eris.Wrapf(err, "flag --hosts: file %s", file)
	}
	var hosts []hostlister.Host
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	if err := d.Decode(&hosts); err != nil {
		return nil, eris.Wrapf(err, "flag --hosts: file %s", file)
	}
	return hosts, nil
}
