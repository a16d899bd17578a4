package deploymentplanner

import (
	"fmt"
	"time"
)

// relayLink is one link of a relayPlan. The relay listens at the address Listen and
// forwards connections to the address To.
type relayLink struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	To     string `json:"to"`
}

// relayRule delays the traffic of links. Link is a pattern of link names and From
// the prefix of the source addresses.
type relayRule struct {
	Link   string `json:"link"`
	From   string `json:"from"`
	Action string `json:"action"`
	// DelayMicros is the delay added in each direction, in microseconds.
	DelayMicros int64 `json:"delay"`
}

// relayPlan is the content of the plan file that standin relay reads.
type relayPlan struct {
	Links []relayLink `json:"links"`
	Rules []relayRule `json:"rules"`
}

// newRelayPlan returns the plan of a relay with the latencies of the profile. It has a
// link for the HTTP and the peer listener of each daemon, for each target and, in each
// data centre, for the key-value service. The names of the links have the forms
// DC/http-DAEMON, DC/peer-DAEMON, DC/target-ID and DC/kv, where DC is the name of the
// data centre.
func (p *Plan) newRelayPlan() relayPlan {
	var plan relayPlan
	for _, d := range p.daemons() {
		plan.addLink(d.dc, "http-"+d.id(), d.address(httpPortOffset, true), d.address(httpPortOffset, false))
		plan.addLink(d.dc, "peer-"+d.id(), d.address(peerPortOffset, true), d.address(peerPortOffset, false))
	}
	for _, t := range p.targets() {
		plan.addLink(t.dc, "target-"+t.id, t.address(true), t.address(false))
	}
	for dc := 1; dc <= p.Profile.DataCentres; dc++ {
		plan.addLink(dc, "kv", p.kvAddressIn(dc), p.KVAddress)
	}
	plan.addDelay("*/http-*", "127.0.0.0/8", p.Profile.CallerLatency)
	for to := 1; to <= p.Profile.DataCentres; to++ {
		for from := 1; from <= p.Profile.DataCentres; from++ {
			if from != to {
				plan.addDelay(dataCentreName(to)+"/*", fmt.Sprintf("127.0.%d.0/24", from), p.Profile.CrossDataCentreLatency)
			}
		}
	}
	return plan
}

func (r *relayPlan) addLink(dc int, name, listen, to string) {
	r.Links = append(r.Links, relayLink{
		Name:   dataCentreName(dc) + "/" + name,
		Listen: listen,
		To:     to,
	})
}

func (r *relayPlan) addDelay(pattern, from string, d time.Duration) {
	r.Rules = append(r.Rules, relayRule{
		Link:        pattern,
		From:        from,
		Action:      "pass",
		DelayMicros: d.Microseconds(),
	})
}
