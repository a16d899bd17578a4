package mirrorer

import (
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/storer"
)

// TestCopyLiftsNoEvacuation guards against an order to evacuate a data centre that ends, while
// nobody has taken it back, because the store has returned from a copy from before it. Each
// case is a store revision, and what the daemon has adopted from others at another one.
func TestCopyLiftsNoEvacuation(t *testing.T) {
	const version = 9
	earlier := storer.JoinRevision(1, 50)
	tests := []struct {
		name     string
		revision int64
		version  uint64
		// stored is what the store holds.
		stored string
		// inForce is the revision of the order in force.
		inForce int64
		want    string
	}{
		{name: "copy lacks the order", revision: storer.JoinRevision(2, 20), version: version, inForce: earlier, want: "dc-1"},
		{name: "copy lacks the order and holds an older configuration", revision: storer.JoinRevision(2, 20), version: version - 2, inForce: earlier, want: "dc-1"},
		{name: "copy holds another order", revision: storer.JoinRevision(2, 20), version: version, stored: "dc-2", inForce: earlier, want: "dc-1 dc-2"},
		{name: "copy holds the order", revision: storer.JoinRevision(2, 20), version: version, stored: "dc-1", inForce: earlier, want: "dc-1"},
		{name: "taken back in the same era", revision: storer.JoinRevision(1, 60), version: version, inForce: earlier},
		{name: "written again and taken back", revision: storer.JoinRevision(2, 20), version: version, inForce: storer.JoinRevision(2, 10)},
		{name: "operators have written a later version", revision: storer.JoinRevision(2, 20), version: version + 1, inForce: earlier},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(Options{
				Clock: clockwork.NewFakeClock(),
				Translate: func(map[string]storer.Item) (Translation, error) {
					out := Translation{
						Version: test.version,
						Config:  &config.Config{},
					}
					if test.stored != "" {
						out.Config.Policy = &config.Policy{
							Evacuations: []*config.Evacuation{{Datacentre: test.stored, Revision: test.revision}},
						}
					}
					return out, nil
				},
				InForce: func() *config.Accepted {
					return &config.Accepted{
						Head: &config.Head{Revision: uint64(earlier), Version: version},
						Config: &config.Config{
							Policy: &config.Policy{
								Cell:        3,
								Evacuations: []*config.Evacuation{{Datacentre: "dc-1", Revision: test.inForce}},
							},
						},
					}
				},
			})
			m.revision = test.revision
			if err := m.rebuild(); err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, o := range m.accepted.GetConfig().GetPolicy().GetEvacuations() {
				got = append(got, o.GetDatacentre())
			}
			if strings.Join(got, " ") != test.want {
				t.Errorf("evacuated %v, want %q", got, test.want)
			}
		})
	}
}
