package standincommander

import (
	"net/http"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/standin/pkg/relayer"
)

// newRelay returns the subcommand that runs the relay.
func newRelay() *cobra.Command {
	var plan, admin string
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Forward TCP connections, which rules can cut, reset or delay",
		Long: "Forwards the links listed in a plan, a file in JSON with comments:\n" +
			"  {\"links\": [{\"name\": \"kv\", \"listen\": \"127.0.0.1:2479\", \"to\": \"127.0.0.1:2379\"}]}\n" +
			"On the admin listener, POST /rules replaces the rules of the plan, and\n" +
			"POST /faults replaces the rules that take precedence over them. A rule has a\n" +
			"pattern for the link's name, a prefix of the client's address, a direction (up,\n" +
			"down or empty for both), an action (pass, cut, reset) and a one-way delay in\n" +
			"microseconds. The first matching rule applies. The relay dials the server from\n" +
			"the client's loopback address, so that a further relay can match that address.",
		Example: "  standin relay --plan relay.json --admin 127.0.0.1:9901\n" +
			"  curl -d '{\"rules\":[{\"from\":\"127.0.1.0/24\",\"action\":\"cut\"}]}' http://127.0.0.1:9901/faults",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runRelay(cmd, plan, admin)
		},
	}
	cmd.Flags().StringVar(&plan, "plan", "", "file with links and rules, JSON with comments")
	cmd.Flags().StringVar(&admin, "admin", "127.0.0.1:0", "IP address and port of the admin listener")
	return cmd
}

func runRelay(cmd *cobra.Command, file, address string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "flag --plan: read file")
	}
	plan, err := relayer.Parse(b)
	if err != nil {
		return eris.Wrapf(err, "flag --plan: file %s", file)
	}
	admin, err := listen("admin", address)
	if err != nil {
		return err
	}
	r := relayer.New(nil)
	if err := r.Start(plan); err != nil {
		_ = admin.Close()
		return err
	}
	defer r.Stop()
	if err := printReady(cmd.OutOrStdout(), admin.Addr().String()); err != nil {
		return err
	}
	h := &http.Server{
		Handler:           r.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	defer func() { _ = h.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- eris.Wrap(h.Serve(admin), "serve admin listener") }()
	select {
	case <-cmd.Context().Done():
		return nil
	case err := <-failed:
		return err
	}
}
