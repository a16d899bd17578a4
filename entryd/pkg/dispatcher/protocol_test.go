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

// newKey returns a UUIDv7 of a time. Equal arguments give equal keys.
func newKey(t time.Time, n uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// keyIn returns a key of a time in a bucket.
func keyIn(bucket uint32, t time.Time) string {
	for n := uint64(0); ; n++ {
		if k, _ := claimer.ParseKey(newKey(t, n)); k.Bucket() == bucket {
			return k.String()
		}
	}
}

func TestProtocolHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(mechanisms{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range simulationSteps {
			s.step()
		}
		if len(s.errors) > 0 {
			t.Fatal(s.errors)
		}
	})
}

// simulate runs simulations until one fails, and reports the seed and what was
// reached.
func simulate(off mechanisms, seeds uint64) (uint64, []string, map[Kind]int) {
	kinds := make(map[Kind]int)
	for seed := range seeds {
		r := rand.New(rand.NewPCG(seed, 0))
		s := newSimulation(off, r.IntN)
		for range simulationSteps {
			s.step()
		}
		for _, t := range s.tries {
			if t.result != nil {
				kinds[t.result.Kind]++
			}
		}
		if len(s.errors) > 0 {
			return seed, s.errors, kinds
		}
	}
	return 0, nil, kinds
}

func TestProtocolHoldsForManySeeds(t *testing.T) {
	seed, errors, kinds := simulate(mechanisms{}, 10_000)
	if errors != nil {
		t.Fatalf("seed %d: %v", seed, errors)
	}
	for _, k := range []Kind{KindDone, KindNotExecuted, KindUnknown, KindExpired} {
		if kinds[k] == 0 {
			t.Errorf("no attempt ended as %v: %v", k, kinds)
		}
	}
}

func TestProtocolNeedsItsMechanisms(t *testing.T) {
	tests := []struct {
		name string
		off  mechanisms
	}{
		{
			name: "fence",
			off:  mechanisms{fenceOff: true},
		},
		{
			name: "guard of the base",
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
			seed, errors, _ := simulate(tc.off, 10_000)
			if errors == nil {
				t.Fatal("no error was found without the mechanism")
			}
			t.Logf("seed %d: %s", seed, errors[0])
		})
	}
}

func TestRecordableFitsAClaim(t *testing.T) {
	out := &target.Outcome{
		Key:    "k",
		Status: target.Status_STATUS_FAILED,
		Detail: strings.Repeat("é", claimer.MaxClaim),
		Load:   &target.Load{Queue: 3},
	}
	got := recordable(out)
	if size := proto.Size(got); size > claimer.MaxClaim/2+64 || !utf8.ValidString(got.GetDetail()) || got.Load != nil {
		t.Errorf("recordable() has %d bytes, load %v", size, got.Load)
	}
	out.Detail = "duplicate"
	want := proto.CloneOf(out)
	want.Load = nil
	if got := recordable(out); !proto.Equal(got, want) {
		t.Errorf("recordable(%v) = %v, want %v", out, got, want)
	}
}
