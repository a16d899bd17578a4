package adopter

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configencoder"
)

// start is the time of the first step.
var start = time.Unix(1_000_000, 0)

// accepted returns a configuration that matches its digest. cell determines its
// content.
func accepted(revision uint64, cell uint32) *config.Accepted {
	cfg := &config.Config{Policy: &config.Policy{Cell: cell}}
	digest, err := configencoder.Digest(cfg)
	if err != nil {
		panic(err)
	}
	return &config.Accepted{
		Head: &config.Head{
			Revision: revision,
			Digest:   digest,
		},
		Config: cfg,
	}
}

// script drives a Machine with the commands of a test file.
type script struct {
	t   *testing.T
	now time.Time
	m   *Machine
}

func TestMachine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{
			t:   t,
			now: start,
		}
		datadriven.RunTest(t, path, s.run)
	})
}

// run executes one command and prints the actions and the state.
func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "start" {
		var id string
		d.ScanArgs(t, "id", &id)
		s.m = New(Config{
			ID:         id,
			DataCentre: "wlg",
		}, s.now)
		return ""
	}
	out := strings.Builder{}
	for _, event := range s.events(d) {
		for _, a := range s.m.Step(s.now, event) {
			out.WriteString(describe(a) + "\n")
		}
	}
	out.WriteString(s.state())
	return out.String()
}

// events returns the events for a command.
func (s *script) events(d *datadriven.TestData) []Event {
	var revision uint64
	d.MaybeScanArgs(s.t, "revision", &revision)
	var id string
	d.MaybeScanArgs(s.t, "peer", &id)
	switch d.Cmd {
	case "tick":
		var wait string
		d.ScanArgs(s.t, "wait", &wait)
		step, err := time.ParseDuration(wait)
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(step)
		return []Event{Tick{}}
	case "members":
		return []Event{MembersChanged{Live: parseMembers(s.t, d.Input)}}
	case "head":
		return []Event{HeadRead{
			Observation: Observation{
				Head: s.content(d, revision).GetHead(),
				At:   s.m.checking.since,
			},
			StoreRevision: int64(100 + revision),
		}}
	case "changed":
		return []Event{HeadChanged{Observation: Observation{
			Head: s.content(d, revision).GetHead(),
			At:   s.now,
		}}}
	case "read":
		return []Event{StoreRead{
			Accepted: s.content(d, revision),
			At:       s.m.reading.since,
		}}
	case "answer":
		a := s.content(d, revision)
		if d.HasArg("age") {
			var age int64
			d.ScanArgs(s.t, "age", &age)
			a.Age = &age
		}
		return []Event{PeerAnswered{
			Peer:     id,
			Accepted: a,
		}}
	case "fail":
		return []Event{map[string]Event{
			"check": CheckFailed{},
			"read":  ReadFailed{},
			"watch": WatchEnded{},
			"pull":  PullFailed{Peer: id},
		}[d.CmdArgs[0].Key]}
	}
	d.Fatalf(s.t, "unknown command %q", d.Cmd)
	return nil
}

// content returns the configuration that a command describes, or nil for
// revision 0.
func (s *script) content(d *datadriven.TestData, revision uint64) *config.Accepted {
	a := accepted(revision, uint32(revision))
	switch {
	case revision == 0:
		return nil
	case d.HasArg("same"):
		a.Config = nil
	case d.HasArg("corrupt"):
		a.Config.Policy.Cell++
	case d.HasArg("other"):
		a = accepted(revision, 1_000)
	}
	return a
}

// parseMembers parses lines of id, data centre and revision, such as "e1 wlg
// 3".
func parseMembers(t *testing.T, input string) []Member {
	var live []Member
	for line := range strings.Lines(input) {
		m := Member{}
		if _, err := fmt.Sscan(line, &m.ID, &m.DataCentre, &m.Revision); err != nil {
			t.Fatal(err)
		}
		live = append(live, m)
	}
	return live
}

func describe(a Action) string {
	switch a := a.(type) {
	case CheckHead:
		return "check head"
	case ReadStore:
		return "read store"
	case StartWatch:
		return fmt.Sprintf("watch after %d", a.After)
	case StopWatch:
		return "stop watch"
	case Pull:
		return fmt.Sprintf("pull from %s, have %d", a.Peer.ID, a.Have)
	case Adopt:
		return fmt.Sprintf("adopt %d", a.Accepted.Head.Revision)
	}
	return "unknown action"
}

func (s *script) state() string {
	out := fmt.Sprintf("in force %d, known %d", s.m.Revision(), s.m.KnownRevision())
	if s.m.Reader(s.now) {
		out += ", reader"
	}
	if at := s.m.Confirmed(); !at.IsZero() {
		out += ", confirmed " + s.now.Sub(at).String() + " ago"
	}
	c := s.m.Counters()
	if c.Lower+c.Corrupt+c.Conflicting > 0 {
		out += fmt.Sprintf(", refused %d lower, %d corrupt, %d conflicting", c.Lower, c.Corrupt, c.Conflicting)
	}
	return out + "\n"
}

// fleetOf returns n members for each data centre.
func fleetOf(n int, datacentres ...string) []Member {
	var live []Member
	for _, dc := range datacentres {
		for i := range n {
			live = append(live, Member{
				ID:         fmt.Sprintf("%s%d", dc, i),
				DataCentre: dc,
			})
		}
	}
	return live
}

func TestReadersPerDataCentre(t *testing.T) {
	for _, n := range []int{1, 2, 3, 30, 64} {
		live := fleetOf(n, "wlg", "akl")
		readers := map[string]int{}
		for _, self := range live {
			m := New(Config{
				ID:         self.ID,
				DataCentre: self.DataCentre,
			}, start)
			m.Step(start, MembersChanged{Live: live})
			if m.Reader(start) {
				readers[self.DataCentre]++
			}
		}
		want := min(n, DefaultReaders)
		if readers["wlg"] != want || readers["akl"] != want {
			t.Errorf("%d daemons per data centre: readers = %v, want %d each", n, readers, want)
		}
	}
}

// If many daemons hold the newest revision, no single one is asked by most of
// the others.
func TestPullsDistributed(t *testing.T) {
	live := fleetOf(64, "wlg")
	for i := range live {
		live[i].Revision = uint64(i % 2)
	}
	asked := map[string]int{}
	for _, self := range live {
		if self.Revision == 1 {
			continue
		}
		m := New(Config{
			ID:         self.ID,
			DataCentre: self.DataCentre,
		}, start)
		for _, a := range m.Step(start, MembersChanged{Live: live}) {
			if p, ok := a.(Pull); ok {
				asked[p.Peer.ID]++
			}
		}
	}
	most := slices.MaxFunc(live, func(a, b Member) int { return cmp.Compare(asked[a.ID], asked[b.ID]) })
	if len(asked) < 16 || asked[most.ID] > 5 {
		t.Errorf("32 pulls went to %d of 32 holders, %d of them to one", len(asked), asked[most.ID])
	}
}

// offerLowerRevisions offers a machine lower revisions from every source and
// returns an error if its revision ever decreases.
func offerLowerRevisions(m *Machine) error {
	events := []Event{
		StoreRead{Accepted: accepted(5, 5)},
		StoreRead{Accepted: accepted(4, 4)},
		HeadRead{Observation: Observation{Head: accepted(3, 3).Head}},
		HeadChanged{Observation: Observation{Head: accepted(2, 2).Head}},
		PeerAnswered{Accepted: accepted(3, 3)},
		StoreRead{},
	}
	highest := uint64(0)
	for i, event := range events {
		m.Step(start, event)
		if m.Revision() < highest {
			return fmt.Errorf("event %d: revision is %d, was %d", i, m.Revision(), highest)
		}
		highest = m.Revision()
	}
	return nil
}

func TestMachineRefusesLowerRevision(t *testing.T) {
	cfg := Config{
		ID:         "e1",
		DataCentre: "wlg",
	}
	if err := offerLowerRevisions(New(cfg, start)); err != nil {
		t.Error(err)
	}
	mutant := New(cfg, start)
	mutant.accepts = func(_, _ uint64) bool { return true }
	if offerLowerRevisions(mutant) == nil {
		t.Error("offerLowerRevisions does not notice a machine that adopts lower revisions")
	}
}

// TestWatchStartsAtOwnCheck guards against a watch that goes on from where a daemon has looked into the store long before
// it becomes a reader: the store would have to report all changes since.
func TestWatchStartsAtOwnCheck(t *testing.T) {
	m := New(Config{
		ID:         "last",
		DataCentre: "wlg",
	}, start)
	m.fleet.rank = 12
	now := start
	step := func(d time.Duration, e Event) []Action {
		now = now.Add(d)
		return m.Step(now, e)
	}
	newest := accepted(1, 1)
	answer := HeadRead{
		Observation:   Observation{Head: newest.Head},
		StoreRevision: 100,
	}
	step(0, StoreRead{Accepted: newest})
	if out := step(DefaultLookAfter+time.Second, Tick{}); !slices.Contains(out, Action(CheckHead{Look: true})) {
		t.Fatalf("actions %v, want a look into the store", out)
	}
	answer.At = now
	step(0, answer)
	if m.Reader(now) {
		t.Fatal("a daemon of a low rank has become a reader by its look")
	}
	m.fleet.rank = 0
	out := step(time.Second, Tick{})
	if slices.ContainsFunc(out, isWatch) || !slices.Contains(out, Action(CheckHead{})) {
		t.Errorf("actions %v as the only daemon that is left, want a check before a watch", out)
	}
	answer.At, answer.StoreRevision = now, 900
	if out := step(0, answer); !slices.Contains(out, Action(StartWatch{After: 900})) {
		t.Errorf("actions %v after the check, want a watch from its revision", out)
	}
}

func isWatch(a Action) bool {
	_, ok := a.(StartWatch)
	return ok
}

func BenchmarkMembersChanged(b *testing.B) {
	live := fleetOf(64, "a", "b", "c", "d", "e", "f", "g")
	m := New(Config{
		ID:         "a0",
		DataCentre: "a",
	}, start)
	for b.Loop() {
		m.Step(start, MembersChanged{Live: live})
	}
}

// TestOlderVersionIsRefused guards against a configuration that the operators have replaced
// and that comes back with a higher revision, after the store has returned from a copy.
func TestOlderVersionIsRefused(t *testing.T) {
	withVersion := func(revision, version uint64, cell uint32) *config.Accepted {
		a := accepted(revision, cell)
		a.Head.Version = version
		return a
	}
	m := New(Config{
		ID:         "a",
		DataCentre: "wlg",
	}, start)
	m.Step(start, MembersChanged{Live: []Member{{ID: "a", DataCentre: "wlg"}, {ID: "b", DataCentre: "wlg", Revision: 90}}})
	m.Step(start, PeerAnswered{Peer: "b", Accepted: withVersion(50, 9, 1)})
	older := m.Step(start, PeerAnswered{Peer: "b", Accepted: withVersion(90, 8, 2)})
	if m.Revision() != 50 || m.Counters().Lower != 1 {
		t.Errorf("revision %d in force, %d refused, want revision 50 and 1", m.Revision(), m.Counters().Lower)
	}
	for _, a := range older {
		if _, ok := a.(Pull); ok {
			t.Error("the peer with the older version is asked again at once")
		}
	}
	m.Step(start, StoreRead{Accepted: withVersion(91, 8, 2)})
	m.Step(start, HeadChanged{Observation: Observation{Head: withVersion(92, 8, 2).Head}})
	if m.Revision() != 50 || m.KnownRevision() != 90 {
		t.Errorf("revision %d in force and %d known, want 50 and 90", m.Revision(), m.KnownRevision())
	}
	m.Step(start, PeerAnswered{Peer: "b", Accepted: withVersion(93, 9, 3)})
	if m.Revision() != 93 {
		t.Errorf("revision %d in force, want 93, whose version is that in force", m.Revision())
	}
	m.Step(start, PeerAnswered{Peer: "b", Accepted: withVersion(94, 0, 4)})
	if m.Revision() != 94 {
		t.Errorf("revision %d in force, want 94, whose version is not known", m.Revision())
	}
}
