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

// journalMode is the permission bits of the journal of mutations.
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

// newTarget returns the subcommand that serves targets.
func newTarget() *cobra.Command {
	f := &targetFlags{}
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Serve targets from synthesised records",
		Long: "Serves some or all targets of an operators' configuration from one process.\n" +
			"Addresses, slots, connection limits and shards come from the configuration.\n" +
			"On the admin listener, POST /faults?target=ID sets faults, GET /targets returns\n" +
			"state and counts, GET /executions lists executed mutations, and POST /config\n" +
			"replaces snapshots and shards. On SIGTERM, targets refuse new work and finish accepted work.",
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
	flags.StringArrayVar(&f.groups, "group", nil, "file with ids and behaviour of targets, used instead of the flags; may be repeated")
	flags.StringSliceVar(&g.IDs, "ids", nil, "ids of the targets to serve (default all)")
	flags.StringVar(&f.admin, "admin", "127.0.0.1:0", "IP address and port of the admin listener")
	flags.StringVar(&f.journal, "journal", "", "file to which executions of mutations are appended as JSON lines")
	flags.DurationVar(&f.grace, "grace", 10*time.Second, "time allowed for accepted work at SIGTERM")
	flags.IntVar(&g.QueueLimit, "queue", 8, "number of requests that may wait at each target")
	flags.DurationVar(&g.SetupTime, "setup", 0, "time that the set-up of a new connection takes")
	f.tls.add(cmd)
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of execution times and faults")
	flags.DurationVar(&g.LatencyModel.Median, "median", 2*time.Millisecond, "median execution time")
	flags.Float64Var(&g.LatencyModel.Sigma, "sigma", 0.3, "standard deviation of the logarithm of the execution time")
	flags.Float64Var(&g.LatencyModel.SlowFraction, "slow", 0, "fraction of slow calls in [0,1]")
	flags.Float64Var(&g.LatencyModel.SlowFactor, "slowfactor", searcher.DefaultSlowFactor, "factor of the execution time of slow calls")
	flags.DurationVar(&g.LatencyModel.ColdPeriod, "cold", 0, "time after the start during which a target is cold")
	flags.Float64Var(&g.LatencyModel.ColdFactor, "coldfactor", 4, "factor of execution times while cold")
	flags.DurationVar(&o.RestartDelay, "restart", 0, "time after which a crashed target restarts; with 0 a crash ends the process")
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
	if err := printReady(cmd.OutOrStdout(), admin.Addr().String()); err != nil {
		return err
	}
	h := &http.Server{
		Handler:           l.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	defer func() { _ = h.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- eris.Wrap(h.Serve(admin), "serve admin listener") }()
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

// prepareTargets reads the files that the flags name. It returns a launcher that
// is not yet started and the journal, which the caller closes.
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
	provider, err := f.tls.newProvider()
	if err != nil {
		return nil, nil, err
	}
	o := f.options
	o.Credentials = provider.ServerCredentials()
	o.Exit = os.Exit
	if f.journal != "" {
		file, err := os.OpenFile(f.journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, journalMode)
		if err != nil {
			return nil, nil, eris.Wrap(err, "flag --journal: open file")
		}
		o.Journal, journal = file, file
	}
	l, err := launcher.New(cfg, groups, o)
	if err != nil {
		return nil, nil, err
	}
	return l, journal, nil
}

// readGroups reads the group files. Without any, it returns the one group that the
// flags describe.
func readGroups(f *targetFlags) ([]launcher.Group, error) {
	if len(f.groups) == 0 {
		return []launcher.Group{f.group}, nil
	}
	groups := make([]launcher.Group, 0, len(f.groups))
	for _, file := range f.groups {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "flag --group: read file")
		}
		g, err := launcher.ParseGroup(b)
		if err != nil {
			return nil, eris.Wrapf(err, "flag --group: file %s", file)
		}
		groups = append(groups, g)
	}
	return groups, nil
}

// readyMessage is the JSON line that a command prints once it serves.
type readyMessage struct {
	Admin string `json:"admin"`
}

// printReady prints the address of the admin listener. A parent process waits for
// this line.
func printReady(w io.Writer, admin string) error {
	return json.NewEncoder(w).Encode(readyMessage{Admin: admin})
}
