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

// platformFlags are the flags of the platform command.
type platformFlags struct {
	options   platformsimulator.Options
	daemons   int
	port      int
	directory string
}

// portsPerDaemon is the number of addresses that a daemon listens on.
const portsPerDaemon = 4

// settingsMode is the permission bits of the settings files.
const settingsMode = 0o644

func newPlatform() *cobra.Command {
	var f platformFlags
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's store over HTTP, with targets that register in it",
		Long: `Serves the store and the targets on loopback addresses and writes one settings
file for each daemon. Exits when its standard input is closed.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&f.options.Shards, "shards", 12, "number of shards of the route /all/")
	flags.IntVar(&f.options.Replicas, "replicas", 2, "number of targets of each shard")
	flags.StringSliceVar(&f.options.DataCentres, "datacentres", []string{"dc-1", "dc-2", "dc-3"}, "data centres of targets and daemons")
	flags.IntVar(&f.daemons, "daemons", 3, "number of daemons to write settings files for")
	flags.IntVar(&f.port, "port", 21200, "first port of the daemons")
	flags.StringVar(&f.directory, "directory", ".", "directory to write the settings files to")
	return cmd
}

func (f *platformFlags) run(cmd *cobra.Command) error {
	if f.options.Shards < 1 || f.options.Replicas < 1 || len(f.options.DataCentres) == 0 || f.daemons < 1 {
		return eris.New("flags --shards, --replicas and --daemons must be at least 1, and --datacentres not empty")
	}
	platform, err := platformsimulator.NewPlatform(f.options)
	if err != nil {
		return err
	}
	defer platform.Close()
	for i := range f.daemons {
		file := filepath.Join(f.directory, fmt.Sprintf("front-%d.json", i))
		if err := os.WriteFile(file, []byte(f.settings(i, platform.StoreAddress())), settingsMode); err != nil {
			return err
		}
	}
	cmd.Printf("store %s, settings in %s\n", platform.StoreAddress(), f.directory)
	// The parent process keeps the other end of standard input open. The
	// stand-in exits when the parent exits.
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// address returns the address of a daemon's listener: 0 for HTTP, 1 for peers,
// 2 for admin and 3 for metrics.
func (f *platformFlags) address(daemon, index int) string {
	return fmt.Sprintf("127.0.0.1:%d", f.port+daemon*portsPerDaemon+index)
}

// settings returns the content of a daemon's settings file.
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
`, daemon, f.options.DataCentres[daemon%len(f.options.DataCentres)],
		f.address(daemon, 0), f.address(daemon, 1), f.address(daemon, 2), f.address(daemon, 3),
		store, strings.Join(seeds, ", "))
}
