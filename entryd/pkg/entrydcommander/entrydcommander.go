// Package entrydcommander implements the command line of entryd.
package entrydcommander

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"plantaincleat/entryd/pkg/gatekeeper"
	"plantaincleat/entryd/pkg/starter"
	"plantaincleat/tier/gen/settings"
	"plantaincleat/tier/pkg/commandrunner"
	"plantaincleat/tier/pkg/loader"
	"plantaincleat/tier/pkg/logger"
	"plantaincleat/tier/pkg/tracer"
)

// Run executes the command line with the arguments after the program name, until the
// daemon has stopped. It returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	return commandrunner.Run(newRootCommand(stderr), args, stdout, stderr)
}

func newRootCommand(stderr io.Writer) *cobra.Command {
	var file string
	var check bool
	cmd := &cobra.Command{
		Use:   "entryd --settings FILE",
		Short: "Serve queries over many shards",
		Long: `Serves callers' queries and mutations over many shards, as a root for callers
and as a gatherer for other daemons.

SIGTERM or SIGINT stops gracefully; a second one stops at once.
` + commandrunner.ExitCodeHelp,
		Example: `  entryd --settings /etc/plantaincleat/entryd.json
  entryd --settings entryd.json --check`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				return commandrunner.NewUsageError(errors.New("--settings is missing"))
			}
			cfg, err := loader.LoadSettings(file)
			if err != nil || check {
				return err
			}
			return serve(cfg, stderr)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings `file`, JSON with comments")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return cmd
}

// serve runs a daemon until a signal stops it. It returns
// commandrunner.ErrRequestsAborted if requests were aborted.
func serve(cfg *settings.Entryd, stderr io.Writer) error {
	debug.SetMemoryLimit(gatekeeper.HostOf(cfg).CollectorLimit())
	err := logger.Configure(stderr, cfg.GetLog().GetLevel(), slog.String("daemon", cfg.GetId()), slog.String("datacentre", cfg.GetDatacentre()))
	if err != nil {
		return err
	}
	flush, err := tracer.Configure("entryd", cfg.GetTrace().GetFile(), cfg.GetTrace().GetSample())
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.Background()) }()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := starter.New(cfg, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), d.GracePeriod())
	defer cancel()
	go func() {
		<-signals
		slog.Warn("stopping at once after a second signal: running requests are aborted")
		cancel()
	}()
	if d.Stop(ctx) > 0 {
		return commandrunner.ErrRequestsAborted
	}
	return nil
}
