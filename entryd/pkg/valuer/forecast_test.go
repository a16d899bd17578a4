package valuer

import (
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

const ms = time.Millisecond

func latencies(busy int, d time.Duration, idle int) []time.Duration {
	out := make([]time.Duration, busy+idle)
	for i := range busy {
		out[i] = d
	}
	return out
}

// TestAdmit covers typical distributions of load over the shards of a route.
func TestAdmit(t *testing.T) {
	tests := []struct {
		name string
		q    Query
		want bool
	}{
		{
			name: "idle",
			q:    Query{Left: 200 * ms, Floor: 0.9, Latencies: latencies(0, 0, 20)},
			want: true,
		},
		{
			name: "two slow shards, allowed by the floor",
			q:    Query{Left: 200 * ms, Floor: 0.9, Latencies: latencies(2, time.Second, 18)},
			want: true,
		},
		{
			name: "data centre lost, two thirds of the shards with half of their replicas",
			q:    Query{Left: 200 * ms, Floor: 0.9, Latencies: latencies(13, 180*ms, 7)},
		},
		{
			name: "same queues, later goal",
			q:    Query{Left: 500 * ms, Floor: 0.9, Latencies: latencies(13, 180*ms, 7)},
			want: true,
		},
		{
			name: "all replicas of too many shards down",
			q:    Query{Left: 80 * ms, Floor: 0.75, Latencies: latencies(6, 2*time.Second, 14)},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var f Forecast
			f.lastProbes = map[string]time.Time{"": begin}
			wait, ok := f.Admit(begin, test.q)
			if ok != test.want {
				t.Errorf("admitted %v, want %v", ok, test.want)
			}
			if !ok && wait <= 0 {
				t.Error("refused without a time after which to retry")
			}
		})
	}
}

// TestAdmitProbesDuringOverload checks that one request per probe interval is
// admitted, so that the end of an overload is noticed.
func TestAdmitProbesDuringOverload(t *testing.T) {
	var f Forecast
	admitted := 0
	for i := range 100 {
		if _, ok := f.Admit(begin.Add(time.Duration(i)*10*ms), Query{Route: "r", Left: 100 * ms, Floor: 0.9, Latencies: latencies(5, time.Second, 5)}); ok {
			admitted++
		}
	}
	if admitted != 4 {
		t.Errorf("%d requests admitted in one second of overload, want 4", admitted)
	}
}

func TestLoadDrainsAndExpires(t *testing.T) {
	var f Forecast
	f.RecordLoad(begin, "owner", "s", Load{Latency: 100 * ms, Urgent: 100 * ms})
	tests := []struct {
		after, want time.Duration
	}{
		{after: 0, want: 100 * ms},
		{after: 40 * ms, want: 60 * ms},
		{after: 150 * ms, want: 0},
		{after: reportLife, want: 0},
	}
	for _, test := range tests {
		if got := f.Load(begin.Add(test.after), "owner", "s"); got.Latency != test.want || got.Urgent != test.want {
			t.Errorf("load %v after the report is %v, want %v", test.after, got, test.want)
		}
	}
	f.RecordLoad(begin, "owner", "s", Load{})
	if f.Load(begin, "owner", "s") != (Load{}) {
		t.Error("report of latency 0 did not clear the expected latency")
	}
}
