// Package loadgencommander implements the command line of the load generator.
package loadgencommander

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/loadgen/pkg/resultcollector"
)

const fileMode = 0o644

// New returns the root command with its subcommands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:          "loadgen",
		Short:        "Put an open-loop load on a query tier and verify its answers",
		SilenceUsage: true,
		Args:         cobra.NoArgs,
	}
	root.AddCommand(newProfileCommand(), newRunCommand(), newCompareCommand(), newAuditCommand())
	return root
}

// checkProfileArg returns an error that lists the profiles unless there is exactly
// one argument.
func checkProfileArg(cmd *cobra.Command, args []string) error {
	if len(args) != 1 {
		return eris.Errorf("%s: give one of the profiles %s", cmd.CommandPath(), strings.Join(deploymentplanner.ProfileNames(), ", "))
	}
	return nil
}

func readReport(file string) (*resultcollector.Report, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read report")
	}
	r := &resultcollector.Report{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, eris.Wrapf(err, "decode report: file %s", file)
	}
	return r, nil
}

func writeReport(file string, r *resultcollector.Report) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	return eris.Wrap(os.WriteFile(file, append(b, '\n'), fileMode), "write report")
}
