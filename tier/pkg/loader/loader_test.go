package loader

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
)

func TestParseDiagnostics(t *testing.T) {
	for _, file := range []string{"testdata/config", "testdata/settings"} {
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			var err error
			switch d.Cmd {
			case "config":
				_, err = ParseConfig("f", []byte(d.Input))
			case "settings":
				_, err = ParseSettings("f", []byte(d.Input))
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			if err == nil {
				return "ok\n"
			}
			var loadErr *Error
			if !errors.As(err, &loadErr) {
				d.Fatalf(t, "error of type %T: %v", err, err)
			}
			return err.Error() + "\n"
		})
	}
}

func TestLoadConfig(t *testing.T) {
	cfg, err := LoadConfig("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	classes := cfg.GetInstitutions()[0].GetClasses()
	if got := classes[0].GetDeadline().AsDuration(); got != 230*time.Millisecond {
		t.Errorf("deadline = %s", got)
	}
	if got := classes[1].GetDeadline().AsDuration(); got != 1500*time.Millisecond {
		t.Errorf("deadline = %s", got)
	}
	if got := len(cfg.GetCollections()[0].GetVersions()[0].GetSnapshots()[0].GetShards()); got != 2 {
		t.Errorf("shards = %d", got)
	}
}

func TestLoadErrors(t *testing.T) {
	if _, err := LoadSettings(filepath.Join(t.TempDir(), "absent")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("absent file: %v", err)
	}
	tests := []struct {
		name string
		data []byte
		want string
	}{
		{
			name: "not UTF-8",
			data: []byte("{\n\"targets\": \"\xff\"}"),
			want: "f:2: syntax: not UTF-8",
		},
		{
			name: "too large",
			data: bytes.Repeat([]byte(" "), maxFileBytes+1),
			want: "f: file is larger than 67108864 bytes",
		},
	}
	t.Chdir(t.TempDir())
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile("f", test.data, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := LoadConfig("f"); err == nil || err.Error() != test.want {
				t.Errorf("err = %v, want %s", err, test.want)
			}
		})
	}
}

// FuzzParseConfig checks that each input is either refused with an *Error or
// decoded to a configuration that is unchanged after encoding and decoding it
// again.
func FuzzParseConfig(f *testing.F) {
	good, err := os.ReadFile("testdata/good.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(`{"policy":{"hedge":0.1,"cell":4294967295,"retention":"-1h","quarantine":"1.5s"}}`))
	f.Add([]byte(`{"targets":[{"id":"\ud800"}], "collections": null}`))
	f.Add([]byte(`{"policy":{}, "policy":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg := &config.Config{}
		_, err := decode("f", data, cfg)
		var loadErr *Error
		if err != nil && !errors.As(err, &loadErr) {
			t.Fatalf("error of type %T: %v", err, err)
		}
		if err != nil {
			if len(loadErr.Diagnostics) == 0 || loadErr.Diagnostics[0].Reason == "" {
				t.Fatalf("error without a diagnostic or a reason: %v", loadErr)
			}
			return
		}
		again, err := protojson.Marshal(cfg)
		if err != nil {
			t.Fatal(err)
		}
		copied := &config.Config{}
		if _, err := decode("f", again, copied); err != nil {
			t.Fatalf("decode the encoded configuration %s: %v", again, err)
		}
		if !proto.Equal(cfg, copied) {
			t.Fatalf("configuration %v became %v after encoding and decoding", cfg, copied)
		}
	})
}
