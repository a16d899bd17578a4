package crashtracker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"plantaincleat/entryd/pkg/gossiper"
	"plantaincleat/tier/gen/peer"
)

var start = time.Unix(1_800_000_000, 0)

func subjectOf(caller, content string) Subject { return NewSubject(caller, []byte(content)) }

// crash serves a request that crashes its target, and returns the plan by which it was
// served.
func crash(t *Tracker, now time.Time, s Subject) Plan {
	p := t.Plan(now, s)
	if !p.Refused {
		t.RecordCrashes(now, &p, "pool", 1)
	}
	return p
}

// unanswered serves a request that no target answers.
func unanswered(t *Tracker, now time.Time, s Subject) {
	if p := t.Plan(now, s); !p.Refused {
		t.RecordUnanswered(now, &p)
	}
}

func answer(t *Tracker, now time.Time, s Subject, pool string) {
	p := t.Plan(now, s)
	t.RecordAnswer(now, &p, func(name string) bool { return name == pool })
}

// TestPlan guards against a request that goes on to targets after refusalThreshold
// crashes, and against refusals of requests that only were beside it.
func TestPlan(t *testing.T) {
	s, other, beside := subjectOf("a", "x"), subjectOf("b", "x"), subjectOf("b", "y")
	tests := []struct {
		name      string
		events    func(t *Tracker)
		after     time.Duration
		subject   Subject
		refused   bool
		suspected bool
	}{
		{name: "unknown", events: func(*Tracker) {}, subject: s},
		{name: "one crash", events: func(t *Tracker) { crash(t, start, s) }, subject: s, suspected: true},
		{name: "two crashes", events: func(t *Tracker) {
			crash(t, start, s)
			crash(t, start, s)
		}, subject: s, suspected: true},
		{name: "three crashes", events: func(t *Tracker) { crashTimes(t, s, 3) }, subject: s, refused: true, suspected: true},
		{name: "two targets in one send, and another send", events: func(t *Tracker) {
			p := t.Plan(start, s)
			t.RecordCrashes(start, &p, "pool", 2)
			crash(t, start, s)
		}, subject: s, refused: true, suspected: true},
		{name: "three sends at the same time", events: func(t *Tracker) {
			p := t.Plan(start, s)
			for range 3 {
				t.RecordCrashes(start, &p, "pool", 1)
			}
		}, subject: s, suspected: true},
		{name: "third crash in a crash of many", events: func(t *Tracker) {
			crashTimes(t, s, 2)
			endMany(t, massThreshold, beside)
			crash(t, start, s)
		}, subject: s, suspected: true},
		{name: "third crash just before a crash of many", events: func(t *Tracker) {
			crashTimes(t, s, 3)
			endMany(t, massThreshold, beside)
		}, subject: s, suspected: true},
		{name: "third crash after a crash of many", events: func(t *Tracker) {
			crashTimes(t, s, 2)
			endMany(t, massThreshold, beside)
			crash(t, start.Add(2*massWindow), s)
		}, subject: s, refused: true, suspected: true},
		{name: "third crash with many targets of its own", events: func(t *Tracker) {
			crashTimes(t, s, 2)
			endMany(t, massThreshold, beside)
			endMany(t, massThreshold, s)
			crash(t, start, s)
		}, subject: s, refused: true, suspected: true},
		{name: "answer after two crashes", events: func(t *Tracker) {
			crashTimes(t, s, 2)
			answer(t, start, s, "pool")
			crash(t, start, s)
		}, subject: s, suspected: true},
		{name: "answer of another pool", events: func(t *Tracker) {
			crashTimes(t, s, 2)
			answer(t, start, s, "another")
			crash(t, start, s)
		}, subject: s, refused: true, suspected: true},
		{name: "crash of a send from before an answer", events: func(t *Tracker) {
			crashTimes(t, s, 2)
			p := t.Plan(start, s)
			answer(t, start, s, "pool")
			t.RecordCrashes(start, &p, "pool", 1)
		}, subject: s, suspected: true},
		{name: "equal request of another caller", events: func(t *Tracker) { crashTimes(t, s, 3) }, subject: other, refused: true, suspected: true},
		{name: "equal request of another caller after two crashes", events: func(t *Tracker) { crashTimes(t, s, 2) }, subject: other, suspected: true},
		{name: "equal request of another caller that was answered between", events: func(t *Tracker) {
			crashTimes(t, s, 2)
			answer(t, start, other, "pool")
			crash(t, start, s)
		}, subject: other, suspected: true},
		{name: "caller's own crashes with answers to another caller between", events: func(t *Tracker) {
			crashTimes(t, s, 2)
			answer(t, start, other, "pool")
			crash(t, start, s)
		}, subject: s, refused: true, suspected: true},
		{name: "unanswered without a crash before", events: func(t *Tracker) {
			for range refusalThreshold {
				unanswered(t, start, s)
			}
		}, subject: s},
		{name: "one crash and two unanswered", events: func(t *Tracker) {
			crash(t, start, s)
			unanswered(t, start, s)
			unanswered(t, start, s)
		}, subject: s, refused: true, suspected: true},
		{name: "one crash and two unanswered, half a minute later", events: func(t *Tracker) {
			crash(t, start, s)
			unanswered(t, start, s)
			unanswered(t, start, s)
		}, after: unansweredRefusalPeriod, subject: s, suspected: true},
		{name: "unanswered send from before an answer", events: func(t *Tracker) {
			crashTimes(t, s, 2)
			p := t.Plan(start, s)
			answer(t, start, s, "pool")
			t.RecordUnanswered(start, &p)
		}, subject: s},
		{name: "one content from three callers", events: func(t *Tracker) {
			for _, caller := range []string{"c", "d", "e"} {
				crash(t, start, subjectOf(caller, "x"))
			}
		}, subject: s, refused: true, suspected: true},
		{name: "another request of the caller", events: func(t *Tracker) { crashTimes(t, s, 3) }, subject: subjectOf("a", "y")},
		{name: "end of the refusal", events: func(t *Tracker) { crashTimes(t, s, 3) }, after: refusalPeriod, subject: s, suspected: true},
		{name: "crash after the end of the refusal", events: func(t *Tracker) {
			crashTimes(t, s, 3)
			crash(t, start.Add(refusalPeriod), s)
		}, after: 2*refusalPeriod - time.Second, subject: s, refused: true, suspected: true},
		{name: "end of the suspicion", events: func(t *Tracker) { crashTimes(t, s, 3) }, after: suspicionPeriod, subject: s},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tracker Tracker
			test.events(&tracker)
			p := tracker.Plan(start.Add(test.after), test.subject)
			if p.Refused != test.refused || p.Suspected != test.suspected {
				t.Errorf("refused %v, suspected %v, want %v and %v", p.Refused, p.Suspected, test.refused, test.suspected)
			}
		})
	}
}

func crashTimes(t *Tracker, s Subject, n int) {
	for range n {
		crash(t, start, s)
	}
}

// endMany records that n targets ended while they had a request.
func endMany(t *Tracker, n int, s Subject) {
	for i := range n {
		t.RecordEnd(start, fmt.Sprint("target-", i), s)
	}
}

// TestCrashesOfManyEndInRefusal guards against a request that crashes targets and is never
// refused, since many other targets end beside each of its crashes.
func TestCrashesOfManyEndInRefusal(t *testing.T) {
	const (
		// maxCrashes is one more than the crashes of many that must refuse nothing.
		maxCrashes = 5
		sends      = 20
	)
	s, beside := subjectOf("a", "x"), subjectOf("b", "y")
	tests := []struct {
		name string
		// before is true if the other targets end before the request's own target.
		before bool
	}{
		{name: "others end before", before: true},
		{name: "others end after"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tracker Tracker
			crashes := 0
			for i := range sends {
				now := start.Add(time.Duration(i) * time.Second)
				endOthers := func() {
					for k := range massThreshold {
						tracker.RecordEnd(now, fmt.Sprint("target-", k), beside)
					}
				}
				if test.before {
					endOthers()
				}
				if p := crash(&tracker, now, s); !p.Refused {
					crashes++
				}
				if !test.before {
					endOthers()
				}
			}
			if crashes > maxCrashes {
				t.Errorf("%d of %d sends reached targets, want at most %d", crashes, sends, maxCrashes)
			}
		})
	}
}

// publisherFunc is a Publisher that calls itself.
type publisherFunc func(*peer.Notice)

// Publish implements Publisher.
func (f publisherFunc) Publish(n *peer.Notice) { f(n) }

// TestMergeRevokesInCrashOfMany guards against a refusal by a daemon that saw too little of
// a crash of many: one that saw it must revoke the refusal for all.
func TestMergeRevokesInCrashOfMany(t *testing.T) {
	s, other := subjectOf("a", "x"), subjectOf("b", "y")
	tests := []struct {
		name    string
		before  int
		after   int
		under   Subject
		refused bool
	}{
		{name: "many ended before", before: massThreshold, under: other},
		{name: "many ended after", after: massThreshold, under: other},
		{name: "few ended", before: massThreshold - 1, under: other, refused: true},
		{name: "many ended under the request", before: massThreshold, under: s, refused: true},
		{name: "many ended under an equal request", before: massThreshold, under: subjectOf("a", "x"), refused: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var decider, witness Tracker
			decider.PublishTo(publisherFunc(func(n *peer.Notice) { witness.Merge(start, n.GetSuspicion()) }))
			witness.PublishTo(publisherFunc(func(n *peer.Notice) { decider.Merge(start, n.GetSuspicion()) }))
			endMany(&witness, test.before, test.under)
			crashTimes(&decider, s, refusalThreshold)
			endMany(&witness, test.after, test.under)
			if p := decider.Plan(start, s); p.Refused != test.refused || !p.Suspected {
				t.Errorf("refused %v, suspected %v, want %v and a suspicion", p.Refused, p.Suspected, test.refused)
			}
		})
	}
}

// TestMergeAgrees guards against daemons that disagree about a request: whatever they
// record, and in whatever order notices reach them, they end with the same suspicions.
func TestMergeAgrees(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, seed))
		trackers := make([]Tracker, 3)
		var notices []*peer.Suspicion
		for i := range trackers {
			trackers[i].PublishTo(publisherFunc(func(n *peer.Notice) { notices = append(notices, n.GetSuspicion()) }))
		}
		for range 12 {
			tracker := &trackers[r.IntN(len(trackers))]
			s := subjectOf(fmt.Sprint(r.IntN(2)), "x")
			switch r.IntN(5) {
			case 0:
				answer(tracker, start, s, "pool")
			case 1:
				unanswered(tracker, start, s)
			default:
				crash(tracker, start, s)
			}
			if len(notices) > 0 {
				tracker.Merge(start, notices[r.IntN(len(notices))])
			}
		}
		for i := range trackers {
			for _, n := range r.Perm(len(notices)) {
				trackers[i].Merge(start, notices[n])
			}
		}
		for fingerprint, s := range trackers[0].suspicions.byFingerprint {
			for i := range trackers {
				if !proto.Equal(s, trackers[i].suspicions.byFingerprint[fingerprint]) {
					t.Fatalf("seed %d: daemon 0 has %v, daemon %d has %v", seed, s, i, trackers[i].suspicions.byFingerprint[fingerprint])
				}
			}
		}
	}
}

// TestSuspicionsAreBounded guards against memory that grows with the number of requests,
// and against forgetting a refusal for the sake of mere suspicions.
func TestSuspicionsAreBounded(t *testing.T) {
	var tracker Tracker
	refused := subjectOf("a", "refused")
	crashTimes(&tracker, refused, refusalThreshold)
	for i := range 2 * gossiper.MaxSuspicions {
		crash(&tracker, start.Add(time.Duration(i)*time.Millisecond), subjectOf("a", fmt.Sprint(i)))
	}
	if n := len(tracker.suspicions.byFingerprint); n > gossiper.MaxSuspicions {
		t.Errorf("%d suspicions are kept, want at most %d", n, gossiper.MaxSuspicions)
	}
	if !tracker.Plan(start, refused).Refused {
		t.Error("a refusal was forgotten")
	}
}
