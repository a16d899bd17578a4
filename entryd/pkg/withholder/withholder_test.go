package withholder

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/peer"
)

const leavingHeader = "Leaving"

func TestParseAnnouncement(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	tests := []struct {
		name    string
		status  int
		leaving string
		retry   string
		want    Announcement
		invalid bool
		err     error
	}{
		{name: "nothing", status: 200},
		{name: "leaving in a success", status: 200, leaving: "1", want: Announcement{Leaving: true}},
		{name: "leaving in a refusal", status: 421, leaving: "1", want: Announcement{Leaving: true}},
		{name: "leaving has another value", status: 200, leaving: "0"},
		{name: "seconds", status: 503, retry: "2", want: Announcement{Pause: 2 * time.Second}},
		{name: "fraction of a second", status: 503, retry: "0.25", want: Announcement{Pause: 250 * time.Millisecond}},
		{name: "date", status: 503, retry: now.Add(3 * time.Second).UTC().Format(http.TimeFormat), want: Announcement{Pause: 3 * time.Second}},
		{name: "date in the past", status: 503, retry: now.Add(-time.Hour).UTC().Format(http.TimeFormat)},
		{name: "both", status: 503, leaving: "1", retry: "1", want: Announcement{Leaving: true, Pause: time.Second}},
		{name: "pause in a success", status: 200, retry: "2"},
		{name: "zero", status: 503, retry: "0"},
		{name: "negative", status: 503, retry: "-1", invalid: true},
		{name: "no number", status: 503, retry: "soon", invalid: true},
		{name: "not a number", status: 503, retry: "NaN", invalid: true},
		{name: "hour", status: 503, retry: "3600", want: Announcement{Pause: MaxPause}, invalid: true, err: ErrPauseTooLong},
		{name: "infinite", status: 503, retry: "Inf", want: Announcement{Pause: MaxPause}, invalid: true, err: ErrPauseTooLong},
		{name: "invalid pause of a leaving target", status: 503, leaving: "1", retry: "x", want: Announcement{Leaving: true}, invalid: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{}
			if test.leaving != "" {
				header.Set(leavingHeader, test.leaving)
			}
			if test.retry != "" {
				header.Set(headerRetryAfter, test.retry)
			}
			got, err := ParseAnnouncement(now, test.status, header, Headers{Leaving: leavingHeader})
			// A date has whole seconds.
			got.Pause = got.Pause.Round(100 * time.Millisecond / 2)
			if diff := got.Pause - test.want.Pause; got.Leaving != test.want.Leaving || diff.Abs() > time.Second || test.want.Pause == 0 && got.Pause != 0 {
				t.Errorf("announcement %+v, want %+v", got, test.want)
			}
			if (err != nil) != test.invalid || test.err != nil && !errors.Is(err, test.err) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestStateAfterPause guards against a wave of requests at the end of a pause: they return
// one by one, and more at once with each answer.
func TestStateAfterPause(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var s State
	enter := func(n int) int {
		entered := 0
		for range n {
			if s.Enter(clock.Now()) {
				entered++
			}
		}
		return entered
	}
	exit := func(n int, answered bool) {
		for range n {
			s.Exit(clock.Now(), answered)
		}
	}
	if n := enter(20); n != 20 {
		t.Fatalf("%d of 20 requests before the pause", n)
	}
	s.pause(clock.Now(), clock.Now().Add(time.Second))
	if n := enter(20); n != 0 || !s.Withheld(clock.Now()) {
		t.Errorf("%d requests in the pause", n)
	}
	// Answers to requests that were in flight do not tell that the pause has ended.
	exit(20, true)
	clock.Advance(time.Second)
	if s.Withheld(clock.Now()) {
		t.Error("target is withheld after its pause")
	}
	for _, step := range []struct {
		answered bool
		want     int
	}{
		{answered: false, want: 1},
		{answered: true, want: 1},
		{answered: true, want: 2},
		{answered: true, want: 8},
		{answered: true, want: 50},
	} {
		n := enter(50)
		if n != step.want {
			t.Errorf("%d requests in flight, want %d", n, step.want)
		}
		exit(n, step.answered)
	}
}

// TestPauseIsNotShortened guards against a later answer that asks for less.
func TestPauseIsNotShortened(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	var s State
	s.pause(now, now.Add(2*time.Second))
	s.pause(now, now.Add(time.Second))
	if until := s.PausedUntil(now); !until.Equal(now.Add(2 * time.Second)) {
		t.Errorf("paused until %v after now, want 2 s", until.Sub(now))
	}
}

// board collects notices.
type board struct {
	notices []*peer.Notice
}

// Publish implements NoticeBoard.
func (b *board) Publish(n *peer.Notice) { b.notices = append(b.notices, n) }

// TestLeavingSpreadsAndLasts covers a process that announces that it is leaving: other
// daemons learn it, also those that start long afterwards, and the process that follows at
// the same id is not affected.
func TestLeavingSpreadsAndLasts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var b board
	var heard, told Table
	heard.PublishTo(&b)
	leaving := Process{ID: "a", Incarnation: 1}
	next := Process{ID: "a", Incarnation: 2}
	heard.Record(clock.Now(), leaving, Announcement{Leaving: true}, nil, "request")
	if !heard.Use(clock.Now(), leaving).Leaving() || heard.Use(clock.Now(), next).Leaving() {
		t.Fatal("the announcement counts for the wrong process")
	}
	var expiry int64
	for range 3 * noticeLifetime / time.Second {
		clock.Advance(time.Second)
		heard.Refresh(clock.Now(), []Process{leaving})
		last := b.notices[len(b.notices)-1].GetLeaving()
		if last.GetExpires() <= clock.Now().UnixMilli() {
			t.Fatal("the notice has expired before it was renewed")
		}
		if expiry > 0 && last.GetExpires() != expiry && last.GetExpires()-expiry != renewalInterval.Milliseconds() {
			t.Errorf("renewed for %d ms, want %v", last.GetExpires()-expiry, renewalInterval)
		}
		expiry = last.GetExpires()
	}
	told.MergeNotices(clock.Now(), b.notices)
	if !told.Use(clock.Now(), leaving).Leaving() || told.Use(clock.Now(), next).Leaving() {
		t.Error("a daemon that starts later does not know which process is leaving")
	}
	told.PublishTo(&b)
	before := len(b.notices)
	told.Refresh(clock.Now(), []Process{leaving})
	if len(b.notices) > before {
		t.Error("a daemon repeats the notice of another one")
	}
}

// TestTableForgets guards against a table that grows with each process that ever was.
func TestTableForgets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var table Table
	kept := Process{ID: "kept"}
	left := Process{ID: "left"}
	quiet := Process{ID: "quiet"}
	for _, p := range []Process{kept, left} {
		table.Use(clock.Now(), p)
		table.Record(clock.Now(), p, Announcement{Leaving: true}, nil, "")
	}
	table.Use(clock.Now(), quiet)
	table.Release(clock.Now(), quiet)
	table.Release(clock.Now(), left)
	for i := range maxRetained + 100 {
		clock.Advance(time.Millisecond)
		table.Record(clock.Now(), Process{ID: "unknown", Incarnation: uint64(i)}, Announcement{Pause: time.Hour}, nil, "")
	}
	table.Refresh(clock.Now(), nil)
	if n := len(table.entries); n != maxRetained+1 {
		t.Errorf("%d processes, want %d and the configured one", n, maxRetained)
	}
	clock.Advance(retention)
	table.Refresh(clock.Now(), nil)
	if len(table.entries) != 1 || !table.Use(clock.Now(), kept).Leaving() {
		t.Errorf("%d processes after the retention, want the configured one with its announcement", len(table.entries))
	}
}

// TestReturnedProcessIsStillLeaving guards against a process that has announced that it is
// leaving, whose entry is removed and written again as ready.
func TestReturnedProcessIsStillLeaving(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	var table Table
	p := Process{ID: "a"}
	table.Use(now, p)
	table.Record(now, p, Announcement{Leaving: true}, nil, "")
	table.Release(now, p)
	if !table.Use(now, p).Leaving() {
		t.Error("the process is not leaving any more")
	}
}
