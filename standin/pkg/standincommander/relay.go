package standincommander

import (
	"net/http"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/standin/pkg/relayer"
)

// newRelay returns the subcommand of the relay.
func newRelay() *cobra.Command {
	var plan, admin string
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Forward TCP links that can be cut, reset or delayed",
		Long: "Forwards the links of a plan, a file in JSON with comments:\n" +
			"  {\"links\": [{\"name\": \"kv\", \"listen\": \"127.0.0.1:2479\", \"to\": \"127.0.0.1:2379\"}]}\n" +
			"POST /rules on the admin listener replaces the plan's rules, and POST /faults\n" +
			"those that go before them. A rule has a pattern for the link's name, the\n" +
			"prefix of the dialling address, a direction (up, down or empty for both), an\n" +
			"action (pass, cut, reset) and a one-way delay in microseconds. The first match\n" +
			"counts. The far side is dialled from the dialling side's loopback address, so\n" +
			"that rules by source hold over several relays.",
		Example: "  standin relay --plan relay.json --admin 127.0.0.1:9901\n" +
			"  curl -d '{\"rules\":[{\"from\":\"127.0.1.0/24\",\"action\":\"cut\"}]}' http://127.0.0.1:9901/faults",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runRelay(cmd, plan, admin)
		},
	}
	cmd.Flags().StringVar(&plan, "plan", "", "file with links and rules, JSON with comments")
	cmd.Flags().StringVar(&admin, "admin", "127.0.0.1:0", "IP address and port of the switches")
	return cmd
}

func runRelay(cmd *cobra.Command, file, address string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "flag --plan")
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
	if err := announce(cmd.OutOrStdout(), admin.Addr().String()); err != nil {
		return err
	}
	h := &http.Server{
		Handler:           r.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	defer func() { _ = h.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- eris.Wrap(h.Serve(admin), "serve admin") }()
	select {
	case <-cmd.Context().Done():
		return nil
	case err := <-failed:
		return err
	}
}
