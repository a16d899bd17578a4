package scatterer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"plantaincleat/entryd/pkg/valuer"
	"plantaincleat/tier/gen/peer"
)

// TestLoadReportOfEarlierBuild guards against a report without the latency of the most urgent
// priority that is taken for an idle shard, and the reverse.
func TestLoadReportOfEarlierBuild(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		in   *peer.ScatterLoad
		want valuer.Load
	}{
		{name: "earlier build", in: &peer.ScatterLoad{Finish: 90}, want: valuer.Load{Latency: 90 * ms, Urgent: 90 * ms}},
		{name: "this build", in: &peer.ScatterLoad{Finish: 90, Urgent: proto.Uint32(30), Service: 20}, want: valuer.Load{Latency: 90 * ms, Urgent: 30 * ms, Service: 20 * ms}},
		{name: "idle for the most urgent", in: &peer.ScatterLoad{Finish: 90, Urgent: proto.Uint32(0)}, want: valuer.Load{Latency: 90 * ms}},
		{name: "urgent above all", in: &peer.ScatterLoad{Finish: 90, Urgent: proto.Uint32(200)}, want: valuer.Load{Latency: 90 * ms, Urgent: 90 * ms}},
		{name: "own report", in: encodeLoad(3, valuer.Load{Latency: 90 * ms, Urgent: 30 * ms, Service: 20 * ms}), want: valuer.Load{Latency: 90 * ms, Urgent: 30 * ms, Service: 20 * ms}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := decodeLoad(test.in); got != test.want {
				t.Errorf("load %v, want %v", got, test.want)
			}
		})
	}
}
