package standincommander

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/standin/pkg/launcher"
	"plantaincleat/standin/pkg/searcher"
	"plantaincleat/tier/pkg/loader"
)

const journalMode = 0o644

// targetFlags are the flags of the target command.
type targetFlags struct {
	config  string
	groups  []string
	admin   string
	journal string
	grace   time.Duration
	group   launcher.Group
	options launcher.Options
	tls     tlsFlags
}

// newTarget returns the subcommand of the targets.
func newTarget() *cobra.Command {
	f := &targetFlags{}
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Serve targets from synthesised records",
		Long: "Serves some or all targets of an operators' configuration from one process.\n" +
			"Addresses, slots, connection limits and shards come from the configuration.\n" +
			"Faults are set with POST /faults?target=ID on the admin listener, state and\n" +
			"counts are shown at GET /targets, runs of mutations at GET /executions, and\n" +
			"POST /config replaces what the targets hold. SIGTERM drains.",
		Example: "  standin target --config config.json --admin 127.0.0.1:9900\n" +
			"  standin target --config config.json --group targets-entrants.json --group targets-feed.json\n" +
			"  standin target --config config.json --ids s1,s2 --median 4ms --sigma 0.3 --slow 0.02\n" +
			"  curl -d '{\"delay\":10}' 'http://127.0.0.1:9900/faults?target=s1'",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runTarget(cmd, f)
		},
	}
	addTargetFlags(cmd, f)
	return cmd
}

func addTargetFlags(cmd *cobra.Command, f *targetFlags) {
	flags, o, g := cmd.Flags(), &f.options, &f.group
	flags.StringVar(&f.config, "config", "", "operators' configuration file, JSON with comments")
	flags.StringArrayVar(&f.groups, "group", nil, "file with ids and behaviour of targets, in place of the flags; may be repeated")
	flags.StringSliceVar(&g.IDs, "ids", nil, "ids of the targets to serve (default all)")
	flags.StringVar(&f.admin, "admin", "127.0.0.1:0", "IP address and port of the switches")
	flags.StringVar(&f.journal, "journal", "", "file to which runs of mutations are appended as JSON lines")
	flags.DurationVar(&f.grace, "grace", 10*time.Second, "time allowed for accepted work at SIGTERM")
	flags.IntVar(&g.Queue, "queue", 8, "requests that may wait at each target")
	flags.DurationVar(&g.Setup, "setup", 0, "time that a new connection takes")
	f.tls.add(cmd)
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of execution times and faults")
	flags.DurationVar(&g.LatencyModel.Median, "median", 2*time.Millisecond, "median execution time")
	flags.Float64Var(&g.LatencyModel.Sigma, "sigma", 0.3, "standard deviation of the logarithm of the execution time")
	flags.Float64Var(&g.LatencyModel.SlowFraction, "slow", 0, "fraction of slow calls in [0,1]")
	flags.Float64Var(&g.LatencyModel.SlowFactor, "slowfactor", searcher.DefaultSlowFactor, "factor of the time of slow calls")
	flags.DurationVar(&g.LatencyModel.ColdPeriod, "cold", 0, "time after the start during which a target is cold")
	flags.Float64Var(&g.LatencyModel.ColdFactor, "coldfactor", 4, "factor of execution times while cold")
	flags.DurationVar(&o.Restart, "restart", 0, "time after which a crashed target is back; 0 ends the process")
}

func runTarget(cmd *cobra.Command, f *targetFlags) error {
	l, journal, err := prepareTargets(f)
	if err != nil {
		return err
	}
	defer func() { _ = journal.Close() }()
	admin, err := listen("admin", f.admin)
	if err != nil {
		return err
	}
	if err := l.Start(); err != nil {
		_ = admin.Close()
		return err
	}
	defer l.Stop()
	if err := announce(cmd.OutOrStdout(), admin.Addr().String()); err != nil {
		return err
	}
	h := &http.Server{
		Handler:           l.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	defer func() { _ = h.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- eris.Wrap(h.Serve(admin), "serve admin") }()
	select {
	case <-cmd.Context().Done():
		ctx, cancel := context.WithTimeout(context.Background(), f.grace)
		defer cancel()
		l.Drain(ctx)
		return nil
	case err := <-failed:
		return err
	}
}

// prepareTargets reads the files that the flags name.
func prepareTargets(f *targetFlags) (*launcher.Launcher, io.Closer, error) {
	cfg, err := loader.LoadConfig(f.config)
	if err != nil {
		return nil, nil, eris.Wrap(err, "flag --config")
	}
	groups, err := readGroups(f)
	if err != nil {
		return nil, nil, err
	}
	journal := io.NopCloser(nil)
	secure, err := f.tls.open()
	if err != nil {
		return nil, nil, err
	}
	o := f.options
	o.Credentials = secure.ServerCredentials()
	o.Exit = os.Exit
	if f.journal != "" {
		file, err := os.OpenFile(f.journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, journalMode)
		if err != nil {
			return nil, nil, eris.Wrap(err, "flag --journal")
		}
		o.Journal, journal = file, file
	}
	l, err := launcher.New(cfg, groups, o)
	if err != nil {
		return nil, nil, err
	}
	return l, journal, nil
}

// readGroups reads the files of groups, or returns the group of the flags if
// there are none.
func readGroups(f *targetFlags) ([]launcher.Group, error) {
	if len(f.groups) == 0 {
		return []launcher.Group{f.group}, nil
	}
	groups := make([]launcher.Group, 0, len(f.groups))
	for _, file := range f.groups {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "flag --group")
		}
		g, err := launcher.ParseGroup(b)
		if err != nil {
			return nil, eris.Wrapf(err, "flag --group: file %s", file)
		}
		groups = append(groups, g)
	}
	return groups, nil
}

// ready is printed once the process serves.
type ready struct {
	Admin string `json:"admin"`
}

// announce prints where the switches are, so that a parent process can wait
// for the line.
func announce(w io.Writer, admin string) error {
	return json.NewEncoder(w).Encode(ready{Admin: admin})
}
