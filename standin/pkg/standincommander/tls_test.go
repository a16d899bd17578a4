package standincommander

import (
	"strings"
	"testing"
)

func TestTLSFlagsRequireEachOther(t *testing.T) {
	for _, name := range []string{"kv", "hosts"} {
		for _, flags := range []string{"--certificate c.pem", "--key k.pem", "--ca ca.pem", "--certificate c.pem --ca ca.pem"} {
			cmd := New()
			cmd.SilenceErrors = true
			cmd.SetArgs(append([]string{name}, strings.Fields(flags)...))
			if err := cmd.Execute(); err == nil || !strings.Contains(err.Error(), "must be given together") {
				t.Errorf("%s %s: error %v, want one about flags that must be given together", name, flags, err)
			}
		}
	}
}
