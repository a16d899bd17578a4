package accountant

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const kb = 1 << 10

// testLimits leave 300 KB to large requests and 100 KB to small ones.
var testLimits = Limits{
	Connections: 8,
	Bytes:       400 * kb,
	Small:       16 * kb,
}

// connection describes a connection of an account.
type connection struct {
	phase Phase
	bytes int64
	// age is the time that the phase has lasted.
	age time.Duration
}

// accountOf returns an account with connections, whose IDs are their places from 1, and the present
// time.
func accountOf(t *testing.T, list []connection) (*Account, time.Time) {
	t.Helper()
	now := begin.Add(time.Hour)
	a := New(testLimits)
	for _, c := range list {
		id, _, ok := a.Open(now.Add(-c.age))
		if !ok {
			t.Fatal("no room for a connection of the test")
		}
		if v, _ := a.Charge(id, c.bytes, now.Add(-c.age)); v != Granted {
			t.Fatalf("no room for the %d bytes of a connection of the test", c.bytes)
		}
		a.Enter(id, c.phase, now.Add(-c.age))
	}
	return a, now
}

// TestConnectionsThatMakeWay guards against a crowd of connections that keeps callers from opening
// new ones, and against callers whose requests run being closed for others.
func TestConnectionsThatMakeWay(t *testing.T) {
	tests := []struct {
		name string
		list []connection
		// want is the connection that makes way, zero if the new one is turned away.
		want ID
	}{
		{name: "idle for longest", list: []connection{{age: 1}, {age: 5}, {phase: Receiving, age: 2}, {phase: Running, age: 9}}, want: 2},
		{name: "incomplete for longer than new ones are idle", list: []connection{{age: 1}, {age: 2}, {phase: Receiving, age: 9}}, want: 3},
		{name: "no idle one", list: []connection{{phase: Running, age: 9}, {phase: Receiving, age: 3}, {phase: Receiving, age: 2}}, want: 2},
		{name: "answer that is not read", list: []connection{{phase: Running, age: time.Minute}, {phase: Answering, age: slowAnswer}}, want: 2},
		{name: "answers that are read", list: []connection{{phase: Running, age: time.Minute}, {phase: Answering, age: slowAnswer - 1}}},
		{name: "all run", list: []connection{{phase: Running}, {phase: Running}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a, now := accountOf(t, test.list)
			a.limits.Connections = len(test.list)
			id, victim, ok := a.Open(now)
			if victim != test.want || ok != (test.want != 0) {
				t.Errorf("connection %d makes way, admitted %v, want %d", victim, ok, test.want)
			}
			if a.Connections() != len(test.list) || ok && id == victim {
				t.Errorf("%d connections after it, want %d", a.Connections(), len(test.list))
			}
			if victim != 0 && a.Enter(victim, Running, now) {
				t.Error("a request on the closed connection may run")
			}
		})
	}
}

// TestRequestsThatMakeWay guards against a crowd of unfinished requests that keeps others from being
// read, and against requests that run making way.
func TestRequestsThatMakeWay(t *testing.T) {
	tests := []struct {
		name string
		list []connection
		// asking holds already bytes since an age, and asks for wanted.
		asking connection
		wanted int64
		want   Verdict
		victim ID
	}{
		{name: "room", list: []connection{{phase: Receiving, bytes: 280 * kb, age: time.Minute}}, wanted: 20 * kb, want: Granted},
		{name: "largest of one age", list: []connection{{phase: Receiving, bytes: 100 * kb, age: time.Second}, {phase: Receiving, bytes: 190 * kb, age: time.Second}}, wanted: 20 * kb, want: Deferred, victim: 2},
		{name: "oldest of one size", list: []connection{{phase: Receiving, bytes: 145 * kb, age: 3 * time.Second}, {phase: Receiving, bytes: 145 * kb, age: time.Second}}, wanted: 20 * kb, want: Deferred, victim: 1},
		{name: "heaviest itself", list: []connection{{phase: Receiving, bytes: 100 * kb, age: time.Second}}, asking: connection{phase: Receiving, bytes: 190 * kb, age: 2 * time.Second}, wanted: 20 * kb, want: Refused},
		{name: "whole requests only", list: []connection{{phase: Running, bytes: 290 * kb, age: time.Minute}}, wanted: 20 * kb, want: Refused},
		{name: "small beside whole requests", list: []connection{{phase: Running, bytes: 300 * kb, age: time.Minute}}, wanted: 16 * kb, want: Granted},
		{name: "answer that is not read", list: []connection{{phase: Answering, bytes: 290 * kb, age: time.Minute}}, wanted: 20 * kb, want: Deferred, victim: 1},
		{name: "idle ones hold nothing", list: []connection{{phase: Running, bytes: 300 * kb}, {age: time.Minute}}, wanted: 20 * kb, want: Refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a, now := accountOf(t, append(test.list, test.asking))
			asking := a.last
			verdict, victim := a.Charge(asking, test.wanted, now)
			if verdict != test.want || victim != test.victim {
				t.Errorf("verdict %d, connection %d makes way, want %d and %d", verdict, victim, test.want, test.victim)
			}
			if victim == 0 {
				return
			}
			if v, again := a.Charge(asking, test.wanted, now); v != Deferred || again != 0 {
				t.Errorf("before the release: verdict %d, connection %d makes way, want %d and none", v, again, Deferred)
			}
			if a.Enter(victim, Running, now) {
				t.Error("the request that makes way may run")
			}
			a.ReleaseAll(victim)
			if v, _ := a.Charge(asking, test.wanted, now); v != Granted {
				t.Errorf("after the release: verdict %d, want %d", v, Granted)
			}
		})
	}
}

// TestAccountStaysWithinLimits checks the invariants over any order of calls: neither sum passes its
// limit, the sums are those of the connections, nothing is given back that was not charged, and a
// small request gets in beside any large ones.
func TestAccountStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := New(testLimits), begin
		var ids []ID
		pick := func(t *rapid.T) ID {
			if len(ids) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				if id, _, ok := a.Open(now); ok {
					ids = append(ids, id)
				}
			},
			"join": func(t *rapid.T) {
				id := a.Join()
				ids = append(ids, id)
				if v, _ := a.Charge(id, rapid.Int64Range(1, 100*kb).Draw(t, "bytes"), now); v != Granted {
					a.ReleaseAll(id)
				}
			},
			"charge": func(t *rapid.T) {
				a.Charge(pick(t), rapid.Int64Range(0, 100*kb).Draw(t, "bytes"), now)
			},
			"enter": func(t *rapid.T) {
				a.Enter(pick(t), rapid.SampledFrom([]Phase{Idle, Receiving, Running, Answering}).Draw(t, "phase"), now)
			},
			"release": func(t *rapid.T) {
				a.Release(pick(t), rapid.Int64Range(0, 100*kb).Draw(t, "bytes"))
			},
			"release all": func(t *rapid.T) { a.ReleaseAll(pick(t)) },
			"close":       func(t *rapid.T) { a.Close(pick(t)) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "time")))
			},
			"": func(t *rapid.T) { checkSums(t, a) },
		})
	})
}

// checkSums checks the sums of an account against its connections and limits.
func checkSums(t *rapid.T, a *Account) {
	var all, leaving, large int64
	open := 0
	for _, h := range a.holders {
		all += h.bytes
		if h.leaving {
			leaving += h.bytes
		}
		if h.bytes > a.limits.Small {
			large += h.bytes
		}
		if !h.closed {
			open++
		}
		if h.bytes < 0 || h.closed && h.bytes == 0 {
			t.Fatalf("a connection holds %d bytes, closed %v", h.bytes, h.closed)
		}
	}
	if all != a.bytes || leaving != a.leavingBytes || open != a.open {
		t.Fatalf("sums %d, %d and %d, the connections have %d, %d and %d", a.bytes, a.leavingBytes, a.open, all, leaving, open)
	}
	if a.bytes > a.limits.Bytes || a.open > a.limits.Connections {
		t.Fatalf("%d bytes and %d connections are over the limits", a.bytes, a.open)
	}
	if limit := a.limits.Bytes - a.limits.Bytes/reservedParts; large > limit {
		t.Fatalf("large requests hold %d bytes, more than %d", large, limit)
	}
}

// TestHostLimits guards against limits that clients within the limits of the pages meet, and against
// such that do not fit into the host.
func TestHostLimits(t *testing.T) {
	const mb = 1 << 20
	tests := []struct {
		name string
		host Host
	}{
		{name: "default"},
		{name: "small", host: Host{Memory: 160 * mb, Descriptors: 4100}},
		{name: "usual", host: Host{Memory: 284 * mb, Descriptors: 4100}},
		{name: "large", host: Host{Memory: 536 * mb, Descriptors: 8192}},
	}
	// Half of a second's requests of a zone of thousands of callers, each on its own connection.
	const herd = 1000
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			callers, peers, operators := test.host.Callers(), test.host.Peers(), test.host.Operators()
			if callers.Connections < herd {
				t.Errorf("%d connections of callers, want at least %d", callers.Connections, herd)
			}
			if sum := callers.Connections + peers.Connections + 2*operators.Connections + test.host.Targets() + otherDescriptors; sum > test.host.descriptors() {
				t.Errorf("listeners and targets take %d of %d descriptors", sum, test.host.descriptors())
			}
			// Two for each slot of the hundred and more targets of the largest users.
			if n := test.host.Targets(); n < 600 {
				t.Errorf("%d connections to targets, want at least 600", n)
			}
			held := int64(callers.Connections)*connectionBytes + callers.Bytes + int64(peers.Connections)*peerConnectionBytes + 2*operators.Bytes
			if limit := test.host.memory() / 2; held > limit {
				t.Errorf("callers may make the daemon hold %d bytes, more than %d", held, limit)
			}
		})
	}
}
