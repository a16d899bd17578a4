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

// newHosts returns the subcommand of the host list.
func newHosts() *cobra.Command {
	var address, admin, file string
	security := &tlsFlags{}
	cmd := &cobra.Command{
		Use:   "hosts",
		Short: "Serve the list of live and leaving hosts",
		Long: "Serves a JSON array of hosts at GET /hosts. The list is changed on the admin\n" +
			"listener with POST /hosts, POST /state and DELETE /hosts/ID. POST /faults sets\n" +
			"its lag in milliseconds, an outage, or garbled answers.",
		Example: "  standin hosts --listen 127.0.0.1:8500 --admin 127.0.0.1:8501 --hosts hosts.json\n" +
			"  curl -d '{\"lag\":20000}' http://127.0.0.1:8501/faults\n" +
			"  curl -d '{\"id\":\"s1\",\"state\":\"leaving\"}' http://127.0.0.1:8501/state",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runHosts(cmd, address, admin, file, security)
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP address and port of the list")
	cmd.Flags().StringVar(&admin, "admin", "127.0.0.1:0", "IP address and port of the switches")
	cmd.Flags().StringVar(&file, "hosts", "", "file with the hosts at the start, a JSON array with comments")
	security.add(cmd)
	return cmd
}

// runHosts serves until the command's context ends.
func runHosts(cmd *cobra.Command, address, admin, file string, security *tlsFlags) error {
	secure, err := security.open()
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
	switches, err := listen("admin", admin)
	if err != nil {
		_ = l.Close()
		return err
	}
	cmd.Printf("{\"listen\":%q,\"admin\":%q}\n", l.Addr(), switches.Addr())
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
		failed <- eris.Wrap(servers[0].Serve(secure.WrapListener(l, tlsprovider.ClientAuthNone)), "serve list")
	}()
	go func() { failed <- eris.Wrap(servers[1].Serve(switches), "serve admin") }()
	return waitHosts(cmd.Context(), servers, failed)
}

// waitHosts closes the servers once ctx ends or one of them fails.
func waitHosts(ctx context.Context, servers []*http.Server, failed <-chan error) error {
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

// readHosts reads the hosts at the start. Without a file there are none.
func readHosts(file string) ([]hostlister.Host, error) {
	if file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "flag --hosts")
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
