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

// headerTimeout bounds the reading of a request header by an admin listener.
const headerTimeout = 5 * time.Second

// newKV returns the subcommand of the key-value service.
func newKV() *cobra.Command {
	var address, admin string
	security := &tlsFlags{}
	cmd := &cobra.Command{
		Use:   "kv",
		Short: "Serve the key-value service from memory",
		Long: "Serves a subset of the etcd v3 API from memory. Faults are set with\n" +
			"POST /faults on the admin listener, calls are counted at GET /counts and\n" +
			"items are shown at GET /dump?prefix=.",
		Example: "  standin kv --listen 127.0.0.1:2379 --admin 127.0.0.1:2380\n" +
			"  curl -d '{\"outage\":true}' http://127.0.0.1:2380/faults",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runKV(cmd, address, admin, security)
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP address and port of the service")
	cmd.Flags().StringVar(&admin, "admin", "127.0.0.1:0", "IP address and port of the switches")
	security.add(cmd)
	return cmd
}

// runKV serves until the command's context ends.
func runKV(cmd *cobra.Command, address, admin string, security *tlsFlags) error {
	secure, err := security.open()
	if err != nil {
		return err
	}
	kv, err := listen("listen", address)
	if err != nil {
		return err
	}
	switches, err := listen("admin", admin)
	if err != nil {
		_ = kv.Close()
		return err
	}
	cmd.Printf("{\"listen\":%q,\"admin\":%q}\n", kv.Addr(), switches.Addr())
	return serveKV(cmd.Context(), kv, switches, secure.ServerCredentials())
}

// serveKV runs both listeners until ctx ends or one of them fails.
func serveKV(ctx context.Context, kv, admin net.Listener, creds credentials.TransportCredentials) error {
	service := kvserver.New(clockwork.NewRealClock())
	g := grpc.NewServer(append(kvserver.Options(), grpc.Creds(creds))...)
	service.Register(g)
	h := &http.Server{
		Handler:           service.Admin(),
		ReadHeaderTimeout: headerTimeout,
	}
	failed := make(chan error, 2)
	go func() { failed <- eris.Wrap(g.Serve(kv), "serve kv") }()
	go func() { failed <- eris.Wrap(h.Serve(admin), "serve admin") }()
	defer g.Stop()
	defer func() { _ = h.Close() }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}
