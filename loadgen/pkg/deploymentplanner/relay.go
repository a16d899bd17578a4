package deploymentplanner

import (
	"fmt"
	"time"
)

// link, rule and relayPlan are the relay's file, as standin relay reads it.
type link struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	To     string `json:"to"`
}

type rule struct {
	Link   string `json:"link"`
	From   string `json:"from"`
	Action string `json:"action"`
	// Delay is in microseconds.
	Delay int64 `json:"delay"`
}

type relayPlan struct {
	Links []link `json:"links"`
	Rules []rule `json:"rules"`
}

// relay returns a relay before every listener. The names of links are
// dc/http-daemon, dc/peer-daemon, dc/target-id and dc/kv.
func (p *Plan) relay() relayPlan {
	var plan relayPlan
	for _, d := range p.daemons() {
		plan.add(d.dc, "http-"+d.id(), d.address(httpPort, true), d.address(httpPort, false))
		plan.add(d.dc, "peer-"+d.id(), d.address(peerPort, true), d.address(peerPort, false))
	}
	for _, t := range p.targets() {
		plan.add(t.dc, "target-"+t.id, t.address(true), t.address(false))
	}
	for dc := 1; dc <= p.Profile.DataCentres; dc++ {
		plan.add(dc, "kv", p.kv(dc), p.KVAddress)
	}
	plan.delay("*/http-*", "127.0.0.0/8", p.Profile.CallerLatency)
	for to := 1; to <= p.Profile.DataCentres; to++ {
		for from := 1; from <= p.Profile.DataCentres; from++ {
			if from != to {
				plan.delay(dataCentre(to)+"/*", fmt.Sprintf("127.0.%d.0/24", from), p.Profile.CrossDataCentreLatency)
			}
		}
	}
	return plan
}

func (r *relayPlan) add(dc int, name, listen, to string) {
	r.Links = append(r.Links, link{
		Name:   dataCentre(dc) + "/" + name,
		Listen: listen,
		To:     to,
	})
}

func (r *relayPlan) delay(pattern, from string, d time.Duration) {
	r.Rules = append(r.Rules, rule{
		Link:   pattern,
		From:   from,
		Action: "pass",
		Delay:  d.Microseconds(),
	})
}
