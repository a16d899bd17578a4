package standincommander

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/standin/pkg/platformsimulator"
)

// platformFlags are the flags of the platform's stand-in.
type platformFlags struct {
	size      platformsimulator.Options
	daemons   int
	port      int
	directory string
}

// portsPerDaemon is the number of addresses that a daemon listens on.
const portsPerDaemon = 4

// settingsMode are the permissions of the settings files.
const settingsMode = 0o644

func newPlatform() *cobra.Command {
	var f platformFlags
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "A store over HTTP with targets that register there",
		Long: `Serves the store and the targets of some shards on loopback addresses, and
writes a settings file for each of some daemons. Ends with its standard input.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&f.size.Shards, "shards", 12, "shards of the route /all/")
	flags.IntVar(&f.size.Replicas, "replicas", 2, "targets of each shard")
	flags.StringSliceVar(&f.size.DataCentres, "datacentres", []string{"dc-1", "dc-2", "dc-3"}, "data centres of targets and daemons")
	flags.IntVar(&f.daemons, "daemons", 3, "settings files to write")
	flags.IntVar(&f.port, "port", 21200, "first port of the daemons")
	flags.StringVar(&f.directory, "directory", ".", "directory of the settings files")
	return cmd
}

func (f *platformFlags) run(cmd *cobra.Command) error {
	if f.size.Shards < 1 || f.size.Replicas < 1 || len(f.size.DataCentres) == 0 || f.daemons < 1 {
		return eris.New("flags --shards, --replicas, --datacentres and --daemons must not be empty")
	}
	world, err := platformsimulator.NewPlatform(f.size)
	if err != nil {
		return err
	}
	defer world.Close()
	for i := range f.daemons {
		file := filepath.Join(f.directory, fmt.Sprintf("front-%d.json", i))
		if err := os.WriteFile(file, []byte(f.settings(i, world.StoreAddress())), settingsMode); err != nil {
			return err
		}
	}
	cmd.Printf("store %s, settings in %s\n", world.StoreAddress(), f.directory)
	// The stand-in ends with its parent, which holds the other end.
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// address returns one of a daemon's addresses.
func (f *platformFlags) address(daemon, place int) string {
	return fmt.Sprintf("127.0.0.1:%d", f.port+daemon*portsPerDaemon+place)
}

// settings returns the settings file of a daemon.
func (f *platformFlags) settings(daemon int, store string) string {
	var seeds []string
	for i := range f.daemons {
		seeds = append(seeds, fmt.Sprintf("%q", f.address(i, 1)))
	}
	return fmt.Sprintf(`{
  "id": "front-%d",
  "datacentre": %q,
  "listen": {"http": %q, "peer": %q, "admin": %q, "metrics": %q},
  "kv": [%q],
  "seeds": [%s],
  "grace": "6s",
  "security": {"insecure": true},
  "extra": {"ratio": 0.2, "slack": 50, "window": "10s"}
}
`, daemon, f.size.DataCentres[daemon%len(f.size.DataCentres)],
		f.address(daemon, 0), f.address(daemon, 1), f.address(daemon, 2), f.address(daemon, 3),
		store, strings.Join(seeds, ", "))
}
