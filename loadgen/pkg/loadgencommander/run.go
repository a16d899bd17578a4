package loadgencommander

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/loadgen/pkg/balancer"
	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/loadgen/pkg/driver"
	"plantaincleat/loadgen/pkg/reporter"
	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/loadgen/pkg/scheduler"
	"plantaincleat/loadgen/pkg/verifier"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/settings"
	"plantaincleat/tier/pkg/loader"
	"plantaincleat/tier/pkg/tlsprovider"
)

// errViolations reports that verified answers contain violations.
var errViolations = eris.New("answers differ from the reference")

// runFlags are the flags of the run command.
type runFlags struct {
	entries   []string
	profile   string
	classes   []string
	configs   []string
	rate      float64
	steps     []string
	duration  time.Duration
	seed      uint64
	uniform   bool
	terms     []string
	same      bool
	verify    bool
	patience  time.Duration
	inFlight  int64
	report    string
	plot      string
	mutations string
	ca        string
}

func newRunCommand() *cobra.Command {
	f := &runFlags{}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Put a load on the tier and report latency, coverage and violations",
		Long: "Sends requests of a profile's classes at their intended times, however long the\n" +
			"answers take, and measures latencies from those times. With --steps, the rate is\n" +
			"multiplied by each factor in turn. A daemon given as URL=READY receives no requests\n" +
			"while its readiness URL does not answer 200.\n" +
			"With --verify, each answer is compared with the reference merge of the shards that\n" +
			"it claims to cover, and the command fails if any answer differs. Give --config once\n" +
			"for each configuration that is in force during the run.",
		Example: "  loadgen run --profile kahikatea --entry http://127.0.1.1:20000 --rate 200 --duration 30s\n" +
			"  loadgen run --profile corrib --classes spoken,browse --entry http://127.0.1.1:20000=http://127.0.1.1:20002/ready \\\n" +
			"    --rate 500 --steps 0.5,0.9,1.2,2 --duration 20s --config out/config.json --verify \\\n" +
			"    --report cells.json --plot cells.svg\n" +
			"  loadgen run --profile kahikatea --classes lookup --terms '!crash' --same --rate 1 --entry http://127.0.1.1:20000",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runLoad(cmd, f)
		},
	}
	addRunFlags(cmd, f)
	return cmd
}

func addRunFlags(cmd *cobra.Command, f *runFlags) {
	flags := cmd.Flags()
	flags.StringSliceVar(&f.entries, "entry", nil, "daemons, each given as URL or URL=READY")
	flags.StringVar(&f.profile, "profile", "kahikatea", "profile of the load")
	flags.StringSliceVar(&f.classes, "classes", nil, "classes of the profile (default all)")
	flags.StringArrayVar(&f.configs, "config", nil, "file with the operators' configuration, required by --verify; may be repeated")
	flags.Float64Var(&f.rate, "rate", 100, "requests per second")
	flags.StringSliceVar(&f.steps, "steps", []string{"1"}, "factors by which the rate is multiplied, one for each step")
	flags.DurationVar(&f.duration, "duration", 10*time.Second, "duration of each step")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of send times and queries")
	flags.BoolVar(&f.uniform, "uniform", false, "send requests at even intervals instead of exponentially distributed ones")
	flags.StringSliceVar(&f.terms, "terms", nil, "terms added to each query, for example !crash")
	flags.BoolVar(&f.same, "same", false, "use the same query for all reads of a class, as a caller does that repeats its request")
	flags.BoolVar(&f.verify, "verify", false, "compare answers with the reference")
	flags.DurationVar(&f.patience, "patience", 2*time.Second, "time after the deadline at which a request counts as lost")
	flags.Int64Var(&f.inFlight, "inflight", 20000, "maximum number of requests in flight; further ones are not sent and count as lost")
	flags.StringVar(&f.report, "report", "", "file for the report in JSON")
	flags.StringVar(&f.ca, "ca", "", "PEM file of the CA that verifies daemons at https URLs (default the system's CAs)")
	flags.StringVar(&f.plot, "plot", "", "file for the plots, .svg or .png")
	flags.StringVar(&f.mutations, "mutations", "", "file for the outcome of each mutation, as JSON lines")
}

func runLoad(cmd *cobra.Command, f *runFlags) error {
	o, err := f.driverOptions()
	if err != nil {
		return err
	}
	provider, err := tlsprovider.New(&settings.Security{
		Ca: f.ca,
	}, clockwork.NewRealClock())
	if err != nil {
		return eris.Wrap(err, "flag --ca")
	}
	b, err := balancer.New(f.entries, nil)
	if err != nil {
		return eris.Wrap(err, "flag --entry")
	}
	b.SetTLS(provider)
	if f.plot != "" {
		if _, err := reporter.PlotFormat(f.plot); err != nil {
			return eris.Wrap(err, "flag --plot")
		}
	}
	if f.mutations != "" {
		file, err := os.OpenFile(f.mutations, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
		if err != nil {
			return eris.Wrap(err, "flag --mutations")
		}
		defer func() { _ = file.Close() }()
		o.OnMutation = newMutationLog(file).record
	}
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	go b.Run(ctx)
	c := caller.New(b)
	c.SetTLS(provider)
	defer c.Close()
	r := driver.New(c, o).Run(ctx)
	r.Profile = f.profile
	r.Entries = f.entries
	return f.writeOutputs(cmd.OutOrStdout(), r)
}

// driverOptions validates the flags and reads the configuration files.
func (f *runFlags) driverOptions() (driver.Options, error) {
	profile, err := deploymentplanner.FindProfile(f.profile)
	if err != nil {
		return driver.Options{}, eris.Wrap(err, "flag --profile")
	}
	if profile, err = profile.SelectClasses(f.classes); err != nil {
		return driver.Options{}, eris.Wrap(err, "flag --classes")
	}
	steps, err := f.parseSteps()
	if err != nil {
		return driver.Options{}, err
	}
	o := driver.Options{
		Load: scheduler.Options{
			Classes:    profile.Classes,
			Steps:      steps,
			Seed:       f.seed,
			Uniform:    f.uniform,
			ExtraTerms: f.terms,
			SameQuery:  f.same,
		},
		Institution: profile.Name,
		Version:     deploymentplanner.SchemaVersion,
		LostAfter:   f.patience,
		MaxInFlight: f.inFlight,
	}
	if err := o.Load.Validate(); err != nil {
		return driver.Options{}, err
	}
	if f.verify {
		o.Verifier, err = f.newVerifier()
	}
	return o, err
}

func (f *runFlags) parseSteps() ([]scheduler.Step, error) {
	var steps []scheduler.Step
	for _, s := range f.steps {
		factor, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return nil, eris.Errorf("flag --steps: %q is not a number", s)
		}
		steps = append(steps, scheduler.Step{
			Factor:   factor,
			Rate:     factor * f.rate,
			Duration: f.duration,
		})
	}
	return steps, nil
}

func (f *runFlags) newVerifier() (*verifier.Verifier, error) {
	if len(f.configs) == 0 {
		return nil, eris.New("flag --verify: --config is required")
	}
	var cfgs []*config.Config
	for _, file := range f.configs {
		cfg, err := loader.LoadConfig(file)
		if err != nil {
			return nil, eris.Wrap(err, "flag --config")
		}
		cfgs = append(cfgs, cfg)
	}
	return verifier.New(cfgs...), nil
}

// writeOutputs writes the report as a table and to the files that the flags name.
// It returns errViolations if the report contains violations.
func (f *runFlags) writeOutputs(w io.Writer, r *resultcollector.Report) error {
	if err := reporter.WriteTable(w, r); err != nil {
		return err
	}
	if f.report != "" {
		if err := writeReport(f.report, r); err != nil {
			return err
		}
	}
	if f.plot != "" {
		if err := writePlot(f.plot, reporter.NamedReport{Report: r}); err != nil {
			return err
		}
	}
	if len(r.Violations()) > 0 {
		return errViolations
	}
	return nil
}

func writePlot(file string, reports ...reporter.NamedReport) error {
	format, err := reporter.PlotFormat(file)
	if err != nil {
		return err
	}
	out, err := os.Create(file)
	if err != nil {
		return eris.Wrap(err, "write plot")
	}
	if err := reporter.WritePlot(out, format, reports...); err != nil {
		_ = out.Close()
		return err
	}
	return eris.Wrap(out.Close(), "write plot")
}

// mutationLog writes the outcomes of mutations as JSON lines. It is safe for
// concurrent use.
type mutationLog struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func newMutationLog(w io.Writer) *mutationLog {
	return &mutationLog{
		encoder: json.NewEncoder(w),
	}
}

func (l *mutationLog) record(m caller.Mutation, res resultcollector.Result) {
	line := mutationLine{
		RequestKey: m.RequestKey,
		Record:     m.Record,
		Executed:   "yes",
	}
	switch {
	case res.Refusal != nil:
		line.Executed = res.Refusal.Executed
		line.Detail = res.Refusal.Error()
	case res.Err != nil:
		line.Executed = "unknown"
		line.Detail = res.Err.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// If a line can not be written, the audit reports the execution as one without
	// a caller.
	_ = l.encoder.Encode(line)
}
