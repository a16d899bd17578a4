package commandrunner

import (
	"bytes"
	"errors"
	"testing"

	"github.com/spf13/cobra"
)

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		err  error
		want int
		text string
	}{
		{name: "stopped", want: ExitOK},
		{name: "failed", err: errors.New("no luck"), want: ExitFailed, text: "some: no luck\n"},
		{name: "wrong usage", err: NewUsageError(errors.New("no file")), want: ExitUsage, text: "some: no file\n"},
		{name: "unknown flag", args: []string{"--no"}, want: ExitUsage, text: "some: unknown flag: --no\n"},
		{name: "aborted", err: ErrRequestsAborted, want: ExitAborted, text: "some: shutdown aborted requests in flight\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cmd := &cobra.Command{
				Use:  "some",
				RunE: func(*cobra.Command, []string) error { return test.err },
			}
			var out, text bytes.Buffer
			if got := Run(cmd, test.args, &out, &text); got != test.want || text.String() != test.text {
				t.Errorf("code %d, %q, want %d, %q", got, text.String(), test.want, test.text)
			}
		})
	}
}
