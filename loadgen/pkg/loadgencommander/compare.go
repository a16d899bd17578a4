package loadgencommander

import (
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/loadgen/pkg/reporter"
)

func newCompareCommand() *cobra.Command {
	var plot string
	cmd := &cobra.Command{
		Use:   "compare A.json B.json",
		Short: "Compare two reports",
		Long: "Prints the measures of both reports side by side for each step and class, with\n" +
			"the ratio B/A. With --plot, plots both reports.",
		Example: "  loadgen compare direct.json cells.json --plot direct-cells.svg",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runCompare(cmd, args[0], args[1], plot)
		},
	}
	cmd.Flags().StringVar(&plot, "plot", "", "file for the plots, .svg or .png")
	return cmd
}

func runCompare(cmd *cobra.Command, fileA, fileB, plot string) error {
	a, err := readReport(fileA)
	if err != nil {
		return err
	}
	b, err := readReport(fileB)
	if err != nil {
		return err
	}
	if len(a.Steps) != len(b.Steps) {
		return eris.Errorf("field steps: %s has %d steps and %s has %d", fileA, len(a.Steps), fileB, len(b.Steps))
	}
	nameA, nameB := reportName(fileA), reportName(fileB)
	if err := reporter.WriteComparison(cmd.OutOrStdout(), nameA, nameB, a, b); err != nil {
		return err
	}
	if plot == "" {
		return nil
	}
	return eris.Wrap(writePlot(plot, reporter.NamedReport{
		Name:   nameA,
		Report: a,
	}, reporter.NamedReport{
		Name:   nameB,
		Report: b,
	}), "flag --plot")
}

// reportName returns the file name without its directory and extension.
func reportName(file string) string {
	return strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
}
