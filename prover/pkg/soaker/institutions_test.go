package soaker

import (
	"strings"
	"testing"
)

// TestRotatingKeys guards against a removed key that still opens a daemon, or opens it again,
// when keys change all the time beside kills, cuts, and outages and copies of the store.
func TestRotatingKeys(t *testing.T) {
	directory := t.TempDir()
	findings, events, err := Run(Options{
		Program:    buildDaemon(t),
		Directory:  directory,
		Daemons:    *daemonCount,
		Seed:       3,
		Duration:   shortDuration,
		MeanGap:    meanDisruptionGap,
		RotateKeys: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range findings {
		t.Error(f)
	}
	t.Log(strings.Join(events, "\n"))
	if len(findings) > 0 {
		saveLogs(t, directory, 3)
	}
}
