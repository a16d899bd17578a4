package loadgencommander

import (
	"fmt"
	"io"
	"net/url"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/loadgen/pkg/deploymentplanner"
)

// profileFlags are the flags of the profile command.
type profileFlags struct {
	outputDir string
	scale     float64
	snapshots []string
	plan      deploymentplanner.Plan
}

func newProfileCommand() *cobra.Command {
	f := &profileFlags{}
	cmd := &cobra.Command{
		Use:   "profile NAME",
		Short: "Write the files of a deployment that reproduces a profile",
		Long: "Writes the operators' configuration, the daemons' settings and the files of the\n" +
			"stand-ins for a deployment on loopback addresses. Each shard has two replicas in\n" +
			"different data centres. Profiles: " + strings.Join(deploymentplanner.ProfileNames(), ", ") + ".\n" +
			"A snapshot is given as ID:SPLIT, where SPLIT is the number of shards of each\n" +
			"replica group. The last snapshot is current.",
		Example: "  loadgen profile kahikatea --output-dir out\n" +
			"  loadgen profile corrib --output-dir out --scale 0.2 --daemons 6 --relay\n" +
			"  loadgen profile kahikatea --output-dir next --snapshots s1:1,s2:2",
		Args: checkProfileArg,
		RunE: func(cmd *cobra.Command, args []string) error {
			return runProfile(cmd.OutOrStdout(), f, args[0])
		},
	}
	flags, p := cmd.Flags(), &f.plan
	flags.StringVar(&f.outputDir, "output-dir", "", "directory to write to")
	flags.Float64Var(&f.scale, "scale", 1, "factor by which the numbers of instances are multiplied")
	flags.StringSliceVar(&f.snapshots, "snapshots", []string{"s1:1"}, "snapshots as ID:SPLIT; the last one is current")
	flags.IntVar(&p.Daemons, "daemons", 9, "number of daemons in all data centres")
	flags.IntVar(&p.Port, "port", 20000, "lowest port in use")
	flags.IntVar(&p.QueueLimit, "queue", 8, "maximum number of queued requests at each target")
	flags.DurationVar(&p.LatencyModel.Median, "median", 2*time.Millisecond, "median execution time of targets")
	flags.Float64Var(&p.LatencyModel.Sigma, "sigma", 0.3, "standard deviation of the logarithm of the execution time")
	flags.Float64Var(&p.LatencyModel.SlowFraction, "slow", 0, "fraction of slow calls in [0,1]")
	flags.Float64Var(&p.LatencyModel.SlowFactor, "slowfactor", 10, "factor by which the execution time of slow calls is multiplied")
	flags.StringVar(&p.KVAddress, "kv", "127.0.0.1:2379", "address of the key-value service")
	flags.StringVar(&p.HostsURL, "hosts", "", "URL of the host list")
	flags.BoolVar(&p.Relay, "relay", false, "put a relay that simulates the profile's latencies in front of the daemons' HTTP and peer listeners, the targets and the key-value service")
	return cmd
}

func runProfile(w io.Writer, f *profileFlags, name string) error {
	if f.outputDir == "" {
		return eris.New("flag --output-dir is required")
	}
	profile, err := deploymentplanner.FindProfile(name)
	if err != nil {
		return err
	}
	p := f.plan
	if p.Profile, err = profile.Scale(f.scale); err != nil {
		return eris.Wrap(err, "flag --scale")
	}
	if p.Snapshots, err = parseSnapshots(f.snapshots); err != nil {
		return err
	}
	comment := fmt.Sprintf("Written by loadgen profile %s at scale %v.", name, f.scale)
	if err := p.Write(f.outputDir, comment); err != nil {
		return err
	}
	return writeCommands(w, &p, f.outputDir)
}

func parseSnapshots(list []string) ([]deploymentplanner.Snapshot, error) {
	var snapshots []deploymentplanner.Snapshot
	for _, s := range list {
		id, split, _ := strings.Cut(s, ":")
		n, err := strconv.Atoi(split)
		if err != nil || id == "" {
			return nil, eris.Errorf("flag --snapshots: %q is not of the form ID:SPLIT", s)
		}
		snapshots = append(snapshots, deploymentplanner.Snapshot{
			ID:             id,
			ShardsPerGroup: n,
		})
	}
	return snapshots, nil
}

// writeCommands writes the capacity of the deployment and the commands that start
// it.
func writeCommands(w io.Writer, p *deploymentplanner.Plan, directory string) error {
	b := &strings.Builder{}
	current := p.Snapshots[len(p.Snapshots)-1]
	fmt.Fprintf(b, "# The slots are full at %.0f requests/s of the profile's mix.\n", p.Profile.Capacity(current.ShardsPerGroup, p.LatencyModel.Mean()))
	fmt.Fprintf(b, "standin kv --listen %s\n", p.KVAddress)
	if u, err := url.Parse(p.HostsURL); err == nil && p.HostsURL != "" {
		fmt.Fprintf(b, "standin hosts --listen %s --hosts %s\n", u.Host, filepath.Join(directory, deploymentplanner.HostsFile))
	}
	cfg, groups := p.StandinFiles()
	fmt.Fprintf(b, "standin target --admin 127.0.0.1:%d --config %s", p.Port, filepath.Join(directory, cfg))
	for _, g := range groups {
		fmt.Fprintf(b, " --group %s", filepath.Join(directory, g))
	}
	fmt.Fprintln(b)
	if p.Relay {
		fmt.Fprintf(b, "standin relay --admin 127.0.0.1:%d --plan %s\n", p.Port+1, filepath.Join(directory, deploymentplanner.RelayPlanFile))
	}
	for _, s := range p.Settings() {
		fmt.Fprintf(b, "entryd --settings %s\n", filepath.Join(directory, s.GetId()+".json"))
	}
	fmt.Fprintf(b, "plantainctl config apply %s --kv %s\n", filepath.Join(directory, deploymentplanner.ConfigFile), p.KVAddress)
	fmt.Fprintf(b, "loadgen run --profile %s --config %s --entry %s\n",
		p.Profile.Name, filepath.Join(directory, deploymentplanner.ConfigFile), strings.Join(p.EntryURLs(), ","))
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write commands")
}
