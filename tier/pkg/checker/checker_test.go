package checker

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configencoder"
)

// TestMain fixes the seed of rapid, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestPartTooLarge(t *testing.T) {
	shards := []*config.Shard{}
	for i := range configencoder.MaxValueBytes / 100 {
		shards = append(shards, &config.Shard{
			Id:       strings.Repeat("x", 90) + fmt.Sprint(i),
			From:     fmt.Sprintf("%08d", i),
			To:       fmt.Sprintf("%08d", i+1),
			Replicas: []string{"t1"},
		})
	}
	shards[0].From, shards[len(shards)-1].To = "", ""
	problems := Config(&config.Config{
		Targets: []*config.Target{{
			Id:          "t1",
			Address:     "127.0.0.1:1",
			Datacentre:  "wlg",
			Slots:       1,
			Connections: 1,
		}},
		Collections: []*config.Collection{{
			Name: "c",
			Versions: []*config.Version{{
				Name: "v",
				Snapshots: []*config.Snapshot{{
					Id:     "s",
					Shards: shards,
				}},
			}},
		}},
	})
	if len(problems) != 1 || problems[0].Field != "collections[0]" {
		t.Errorf("problems = %v", problems)
	}
}

func TestConfigRefusesPlainRequests(t *testing.T) {
	problems := Config(&config.Config{
		Routes: []*config.Route{{Name: "r"}},
		Pools:  []*config.Pool{{Name: "p"}},
		Limits: &config.Limits{},
	})
	var fields []string
	for _, p := range problems {
		fields = append(fields, p.Field)
	}
	if got := strings.Join(fields, " "); got != "routes pools limits" {
		t.Errorf("problems in fields %q, want routes, pools and limits", got)
	}
}

// TestConfigRefusesPlainLimits guards against a burst or a rank that has no effect.
func TestConfigRefusesPlainLimits(t *testing.T) {
	for _, in := range []*config.Institution{{Burst: 1}, {Rank: proto.Uint32(0)}} {
		in.Name, in.Rate, in.Concurrency = "library", 1, 1
		problems := Config(&config.Config{
			Institutions: []*config.Institution{in},
		})
		if len(problems) != 1 || problems[0].Field != "institutions[0]" {
			t.Errorf("problems %v of %v, want one", problems, in)
		}
	}
}

// TestKeyRanges compares the result of the check on random ranges with a search
// for each key of a small key space.
func TestKeyRanges(t *testing.T) {
	keys := []string{"", "a", "b", "c", "d", "e", "f"}
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.SampledFrom(keys)
		n := rapid.IntRange(1, 4).Draw(t, "n")
		var shards []*config.Shard
		if rapid.Bool().Draw(t, "adjacent") {
			shards = adjacentShards(rapid.Permutation(keys[1:]).Draw(t, "bounds")[:n-1])
		} else {
			for range n {
				shards = append(shards, &config.Shard{
					From: bound.Draw(t, "from"),
					To:   bound.Draw(t, "to"),
				})
			}
		}
		r := &report{}
		r.checkKeyRanges("s", shards)
		if got, want := len(r.problems) == 0, coversOnce(keys, shards); got != want {
			t.Fatalf("accepted = %v, want %v: %v", got, want, r.problems)
		}
	})
}

// adjacentShards returns shards that cover the key space. Each ends at the next
// greater bound. The order of the shards follows that of the bounds.
func adjacentShards(bounds []string) []*config.Shard {
	shards := []*config.Shard{}
	for _, from := range append([]string{""}, bounds...) {
		to := ""
		for _, bound := range bounds {
			if bound > from && (to == "" || bound < to) {
				to = bound
			}
		}
		shards = append(shards, &config.Shard{
			From: from,
			To:   to,
		})
	}
	return shards
}

// coversOnce reports whether each key lies in exactly one range and no range is
// empty.
func coversOnce(keys []string, shards []*config.Shard) bool {
	for _, s := range shards {
		if s.To != "" && s.To <= s.From {
			return false
		}
	}
	for _, key := range keys {
		covering := 0
		for _, s := range shards {
			if key >= s.From && (s.To == "" || key < s.To) {
				covering++
			}
		}
		if covering != 1 {
			return false
		}
	}
	return true
}
