package dispatcher

import (
	"encoding/binary"
	"flag"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"plantaincleat/entryd/pkg/claimer"
	"plantaincleat/tier/gen/target"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// newKey returns a UUIDv7 with the time t that is determined by its arguments.
func newKey(t time.Time, n uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// keyIn returns a request key with the time t that belongs to the bucket.
func keyIn(bucket uint32, t time.Time) string {
	for n := uint64(0); ; n++ {
		if k, _ := claimer.ParseKey(newKey(t, n)); k.Bucket() == bucket {
			return k.String()
		}
	}
}

// TestProtocolInvariants checks the invariants in simulations with choices drawn by
// rapid, which shrinks a failing run.
func TestProtocolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(mechanisms{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range simulationSteps {
			s.step()
		}
		if len(s.violations) > 0 {
			t.Fatal(s.violations)
		}
	})
}

// simulate runs one simulation per seed until one violates an invariant. It
// returns the seed and the violations of that one, and the number of attempts by
// kind over all simulations.
func simulate(off mechanisms, seeds uint64) (uint64, []string, map[Kind]int) {
	kinds := make(map[Kind]int)
	for seed := range seeds {
		r := rand.New(rand.NewPCG(seed, 0))
		s := newSimulation(off, r.IntN)
		for range simulationSteps {
			s.step()
		}
		for _, t := range s.attempts {
			if t.result != nil {
				kinds[t.result.Kind]++
			}
		}
		if len(s.violations) > 0 {
			return seed, s.violations, kinds
		}
	}
	return 0, nil, kinds
}

func TestProtocolInvariantsManySeeds(t *testing.T) {
	seed, violations, kinds := simulate(mechanisms{}, 10_000)
	if violations != nil {
		t.Fatalf("seed %d: %v", seed, violations)
	}
	for _, k := range []Kind{KindDone, KindNotExecuted, KindUnknown, KindExpired} {
		if kinds[k] == 0 {
			t.Errorf("no attempt ended as %v; attempts by kind: %v", k, kinds)
		}
	}
}

// TestProtocolDetectsDisabledMechanism checks that the simulations violate an
// invariant if a mechanism of the protocol is disabled.
func TestProtocolDetectsDisabledMechanism(t *testing.T) {
	tests := []struct {
		name string
		off  mechanisms
	}{
		{
			name: "conditions of the append",
			off:  mechanisms{fenceOff: true},
		},
		{
			name: "condition on the base",
			off:  mechanisms{truncationOff: true},
		},
		{
			name: "release",
			off:  mechanisms{releaseOff: true},
		},
		{
			name: "closing of earlier attempts",
			off:  mechanisms{closeOff: true},
		},
		{
			name: "numbers of attempts",
			off:  mechanisms{numberingOff: true},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			seed, violations, _ := simulate(tc.off, 10_000)
			if violations == nil {
				t.Fatal("no violation found in 10000 seeds with the mechanism disabled")
			}
			t.Logf("seed %d: %s", seed, violations[0])
		})
	}
}

func TestRecordableFitsClaimLimit(t *testing.T) {
	out := &target.Outcome{
		Key:    "k",
		Status: target.Status_STATUS_FAILED,
		Detail: strings.Repeat("é", claimer.MaxClaimBytes),
		Load:   &target.Load{Queue: 3},
	}
	got := recordable(out)
	if size := proto.Size(got); size > claimer.MaxClaimBytes/2+64 || !utf8.ValidString(got.GetDetail()) || got.Load != nil {
		t.Errorf("recordable() returned %d bytes with load %v, want valid UTF-8 within half a claim and no load", size, got.Load)
	}
	out.Detail = "duplicate"
	want := proto.CloneOf(out)
	want.Load = nil
	if got := recordable(out); !proto.Equal(got, want) {
		t.Errorf("recordable(%v) = %v, want %v", out, got, want)
	}
}
