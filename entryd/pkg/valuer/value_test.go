package valuer

import (
	"testing"
	"time"
)

// TestAdmitByValue guards against refusals that gain nothing: the shards would be late without
// any queue, or the request comes back after it was refused; and against requests that wait
// although they are known to fail.
func TestAdmitByValue(t *testing.T) {
	tests := []struct {
		name string
		q    Query
		want bool
	}{
		{
			name: "queues are the reason",
			q:    Query{Left: 200 * ms, Remaining: 2500 * ms, Late: 0.08, Latencies: latencies(5, 300*ms, 5), Services: latencies(5, 20*ms, 5)},
		},
		{
			name: "slow shards across, late without queues",
			q:    Query{Left: 200 * ms, Remaining: 2500 * ms, Late: 0.08, Latencies: latencies(5, 300*ms, 5), Services: latencies(5, 240*ms, 5)},
			want: true,
		},
		{
			name: "slow shards across, known to fail",
			q:    Query{Left: 200 * ms, Remaining: 2500 * ms, Late: 0.08, Latencies: latencies(5, 3*time.Second, 5), Services: latencies(5, 240*ms, 5)},
		},
		{
			name: "room for a returned request",
			q:    Query{Left: 200 * ms, Remaining: 2500 * ms, Late: 0.08, Returned: true, Latencies: latencies(5, 150*ms, 5)},
			want: true,
		},
		{
			name: "no room for a returned request",
			q:    Query{Left: 200 * ms, Remaining: 2500 * ms, Late: 0.08, Returned: true, Latencies: latencies(5, 250*ms, 5)},
		},
		{
			name: "goal passed, idle shards",
			q:    Query{Left: -10 * ms, Remaining: 2300 * ms, Late: 0.08, Latencies: latencies(5, 20*ms, 5), Services: latencies(5, 20*ms, 5)},
			want: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := Forecast{
				lastProbes: map[string]time.Time{"": begin},
			}
			test.q.Floor = 0.9
			if _, ok := f.Admit(begin, test.q); ok != test.want {
				t.Errorf("admitted %v, want %v", ok, test.want)
			}
		})
	}
}

// TestAdmitAfterOverload guards against refusals by what was learned before: after a mass
// restart nothing is known, in the trough of a wave reports go out of date, and when a data
// centre is back its owners' earlier reports do not count.
func TestAdmitAfterOverload(t *testing.T) {
	const shards = 10
	names := "abcdefghij"
	tests := []struct {
		name  string
		owner string
		after time.Duration
		want  bool
	}{
		{name: "in the wave", owner: "one", after: 10 * ms},
		{name: "rise after the trough", owner: "one", after: reportLife, want: true},
		{name: "data centre back, shards have another owner", owner: "two", after: 10 * ms, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := Forecast{
				lastProbes: map[string]time.Time{"": begin},
			}
			q := Query{
				Left:      200 * ms,
				Remaining: time.Second,
				Floor:     0.9,
				Late:      0.2,
			}
			for i := range shards {
				f.RecordLoad(begin, "one", names[i:i+1], Load{
					Latency: time.Second,
					Urgent:  time.Second,
				})
			}
			for i := range shards {
				q.Latencies = append(q.Latencies, f.Load(begin.Add(test.after), test.owner, names[i:i+1]).Latency)
			}
			if _, ok := f.Admit(begin.Add(test.after), q); ok != test.want {
				t.Errorf("admitted %v, want %v", ok, test.want)
			}
		})
	}
	var f Forecast
	if _, ok := f.Admit(begin, Query{Left: 200 * ms, Floor: 0.9, Latencies: make([]time.Duration, shards)}); !ok {
		t.Error("request was refused after a mass restart, when nothing is known")
	}
}

// TestAdmitSingle guards against requests to one target that wait although none answers by
// the deadline, and against refusals of those that only miss their goal.
func TestAdmitSingle(t *testing.T) {
	f := Forecast{
		lastProbes: map[string]time.Time{"r": begin},
	}
	if _, ok := f.AdmitSingle(begin, "r", 900*ms, time.Second); !ok {
		t.Error("request was refused that can make its deadline")
	}
	if wait, ok := f.AdmitSingle(begin, "r", 1100*ms, time.Second); ok || wait != 100*ms {
		t.Errorf("admitted %v, wait %v; want a refusal for 100ms", ok, wait)
	}
	if _, ok := f.AdmitSingle(begin.Add(probeInterval), "r", 1100*ms, time.Second); !ok {
		t.Error("no probe was admitted, so that the end of the overload is not noticed")
	}
}

// TestAnswerNow guards against answers that leave shards out at the goal though all of them
// are worth more late.
func TestAnswerNow(t *testing.T) {
	tests := []struct {
		name          string
		covered, late float64
		want          bool
	}{
		{name: "complete", covered: 1, late: LateWorth(0, time.Second), want: true},
		{name: "few shards out", covered: 0.95, late: LateWorth(200*ms, 2500*ms), want: true},
		{name: "half of the shards, late answer worth more", covered: 0.5, late: LateWorth(400*ms, time.Second)},
		{name: "half of the shards, late answer worth less", covered: 0.5, late: LateWorth(200*ms, time.Second), want: true},
		{name: "deadline close to the goal", covered: 0.95, late: LateWorth(95*ms, 100*ms)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := AnswerNow(test.covered, test.late); got != test.want {
				t.Errorf("answer now: %v, want %v", got, test.want)
			}
		})
	}
}
