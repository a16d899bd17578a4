package gatherer

import (
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/indexer"
)

func indexOf(targets ...*config.Target) *indexer.Index {
	return indexer.New(&config.Accepted{
		Config: &config.Config{
			Targets: targets,
		},
	})
}

func targetAt(id, address string) *config.Target {
	return &config.Target{
		Id:      id,
		Address: address,
		Slots:   1,
	}
}

// TestPruneClosesQueuesOfRemovedTargets checks that Prune closes the queue of a removed
// target and of a target with a new address, but not while requests are waiting.
func TestPruneClosesQueuesOfRemovedTargets(t *testing.T) {
	configs := &fixedConfigs{
		index: indexOf(targetAt("stays", "127.0.0.1:1"), targetAt("moves", "127.0.0.1:2"), targetAt("goes", "127.0.0.1:3"), targetAt("busy", "127.0.0.1:4")),
	}
	g := New(Options{
		Configs:      configs,
		DrainTracker: noDraining{},
		Clock:        clockwork.NewFakeClock(),
		Budget:       noBudget{},
		Quarantine:   quarantiner.New(quarantiner.Settings{}),
	})
	for _, id := range []string{"stays", "moves", "goes", "busy"} {
		g.queue(id)
	}
	busy := g.queue("busy")
	busy.waiting = append(busy.waiting, &request{})
	configs.index = indexOf(targetAt("stays", "127.0.0.1:1"), targetAt("moves", "127.0.0.1:5"))
	kept := g.Prune()
	slices.Sort(kept)
	if want := []string{"127.0.0.1:1", "127.0.0.1:4"}; !slices.Equal(kept, want) {
		t.Errorf("Prune() keeps %v, want %v", kept, want)
	}
	busy.waiting = nil
	if kept = g.Prune(); !slices.Equal(kept, []string{"127.0.0.1:1"}) {
		t.Errorf("Prune() keeps %v, want only the queue of the target that stays", kept)
	}
}
