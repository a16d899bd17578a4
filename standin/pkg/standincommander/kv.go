package standincommander

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"plantaincleat/standin/pkg/kvserver"
)

// headerTimeout is the time allowed for reading the header of an HTTP request.
const headerTimeout = 5 * time.Second

// newKV returns the subcommand that serves the key-value service.
func newKV() *cobra.Command {
	var address, admin string
	security := &tlsFlags{}
	cmd := &cobra.Command{
		Use:   "kv",
		Short: "Serve the key-value service from memory",
		Long: "Serves a subset of the etcd v3 API from memory. On the admin listener,\n" +
			"POST /faults sets faults, GET /counts returns the number of calls and\n" +
			"GET /dump?prefix= returns items.",
		Example: "  standin kv --listen 127.0.0.1:2379 --admin 127.0.0.1:2380\n" +
			"  curl -d '{\"outage\":true}' http://127.0.0.1:2380/faults",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runKV(cmd, address, admin, security)
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP address and port of the key-value service")
	cmd.Flags().StringVar(&admin, "admin", "127.0.0.1:0", "IP address and port of the admin listener")
	security.add(cmd)
	return cmd
}

// runKV serves the key-value service until the context of cmd ends.
func runKV(cmd *cobra.Command, address, admin string, security *tlsFlags) error {
	provider, err := security.newProvider()
	if err != nil {
		return err
	}
	kvListener, err := listen("listen", address)
	if err != nil {
		return err
	}
	adminListener, err := listen("admin", admin)
	if err != nil {
		_ = kvListener.Close()
		return err
	}
	cmd.Printf("{\"listen\":%q,\"admin\":%q}\n", kvListener.Addr(), adminListener.Addr())
	return serveKV(cmd.Context(), kvListener, adminListener, provider.ServerCredentials())
}

// serveKV serves both listeners until ctx ends or one of them fails.
func serveKV(ctx context.Context, kv, admin net.Listener, creds credentials.TransportCredentials) error {
	service := kvserver.New(clockwork.NewRealClock())
	g := grpc.NewServer(append(kvserver.ServerOptions(), grpc.Creds(creds))...)
	service.Register(g)
	h := &http.Server{
		Handler:           service.Admin(),
		ReadHeaderTimeout: headerTimeout,
	}
	failed := make(chan error, 2)
	go func() { failed <- eris.Wrap(g.Serve(kv), "serve key-value service") }()
	go func() { failed <- eris.Wrap(h.Serve(admin), "serve admin listener") }()
	defer g.Stop()
	defer func() { _ = h.Close() }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}
