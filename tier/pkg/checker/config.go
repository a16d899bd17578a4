package checker

import (
	"fmt"
	"math"
	"regexp"
	"sort"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configencoder"
)

// digest matches a SHA-256 digest in lower-case hex.
var digest = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Config returns all problems of a configuration, none if it can be accepted.
func Config(cfg *config.Config) []Problem {
	r := &report{}
	known := r.targets(cfg.GetTargets())
	names := map[string]string{}
	for i, c := range cfg.GetCollections() {
		field := fmt.Sprintf("collections[%d]", i)
		r.name(field+".name", c.GetName())
		r.unique(names, field+".name", c.GetName())
		r.versions(field, c.GetVersions(), known)
	}
	r.institutions(cfg.GetInstitutions())
	r.policy(cfg.GetPolicy())
	r.plain(cfg)
	r.sizes(cfg)
	return r.problems
}

// plain refuses what is written elsewhere: plain requests are configured in the
// store of the platform that their daemon runs on.
func (r *report) plain(cfg *config.Config) {
	const reason = "is not served from a configuration file"
	if len(cfg.GetRoutes()) > 0 {
		r.add("routes", reason)
	}
	if len(cfg.GetPools()) > 0 {
		r.add("pools", reason)
	}
	if cfg.GetLimits() != nil {
		r.add("limits", reason)
	}
}

// targets returns the set of the known ids.
func (r *report) targets(targets []*config.Target) map[string]string {
	ids, addresses := map[string]string{}, map[string]string{}
	for i, t := range targets {
		field := fmt.Sprintf("targets[%d]", i)
		r.name(field+".id", t.GetId())
		r.unique(ids, field+".id", t.GetId())
		if _, ok := r.address(field+".address", t.GetAddress(), false); ok {
			r.unique(addresses, field+".address", t.GetAddress())
		}
		r.name(field+".datacentre", t.GetDatacentre())
		if t.GetSlots() == 0 {
			r.add(field+".slots", "is not positive")
		}
		if t.GetConnections() == 0 {
			r.add(field+".connections", "is not positive")
		}
	}
	return ids
}

func (r *report) versions(parent string, versions []*config.Version, known map[string]string) {
	if len(versions) == 0 {
		r.add(parent+".versions", "is empty")
	}
	names := map[string]string{}
	for i, v := range versions {
		field := fmt.Sprintf("%s.versions[%d]", parent, i)
		r.name(field+".name", v.GetName())
		r.unique(names, field+".name", v.GetName())
		r.snapshots(field, v.GetSnapshots(), known)
	}
}

func (r *report) snapshots(parent string, snapshots []*config.Snapshot, known map[string]string) {
	if len(snapshots) == 0 {
		r.add(parent+".snapshots", "is empty")
	}
	ids := map[string]string{}
	for i, s := range snapshots {
		field := fmt.Sprintf("%s.snapshots[%d]", parent, i)
		r.name(field+".id", s.GetId())
		r.unique(ids, field+".id", s.GetId())
		r.shards(field, s.GetShards(), known)
		r.partition(field, s.GetShards())
	}
}

func (r *report) shards(parent string, shards []*config.Shard, known map[string]string) {
	ids := map[string]string{}
	for i, s := range shards {
		field := fmt.Sprintf("%s.shards[%d]", parent, i)
		r.name(field+".id", s.GetId())
		r.unique(ids, field+".id", s.GetId())
		if len(s.GetReplicas()) == 0 {
			r.add(field+".replicas", "is empty")
		}
		replicas := map[string]string{}
		for j, target := range s.GetReplicas() {
			replica := fmt.Sprintf("%s.replicas[%d]", field, j)
			if _, found := known[target]; !found {
				r.add(replica, "%q is not the id of a target", target)
			}
			r.unique(replicas, replica, target)
		}
	}
}

// partition checks that the ranges of the shards cover the key space without
// gap or overlap.
func (r *report) partition(parent string, shards []*config.Shard) {
	if len(shards) == 0 {
		r.add(parent+".shards", "is empty")
		return
	}
	order := make([]int, len(shards))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		return shards[order[i]].GetFrom() < shards[order[j]].GetFrom()
	})
	if first := shards[order[0]]; first.GetFrom() != "" {
		r.add(fmt.Sprintf("%s.shards[%d].from", parent, order[0]), "no shard holds the keys before %q", first.GetFrom())
	}
	for n, i := range order {
		field := fmt.Sprintf("%s.shards[%d].to", parent, i)
		from, to := shards[i].GetFrom(), shards[i].GetTo()
		if to != "" && to <= from {
			r.add(field, "%q is not after %q", to, from)
			continue
		}
		if n == len(order)-1 {
			if to != "" {
				r.add(field, "no shard holds the keys from %q on", to)
			}
			continue
		}
		next := shards[order[n+1]].GetFrom()
		switch {
		case to == "" || to > next:
			r.add(field, "the range overlaps that of shard %q", shards[order[n+1]].GetId())
		case to < next:
			r.add(field, "no shard holds the keys from %q to %q", to, next)
		}
	}
}

func (r *report) institutions(institutions []*config.Institution) {
	names, tokens := map[string]string{}, map[string]string{}
	for i, n := range institutions {
		field := fmt.Sprintf("institutions[%d]", i)
		r.name(field+".name", n.GetName())
		r.unique(names, field+".name", n.GetName())
		for j, token := range n.GetTokens() {
			place := fmt.Sprintf("%s.tokens[%d]", field, j)
			if !digest.MatchString(token) {
				r.add(place, "is not a SHA-256 digest of 64 lower-case hex digits")
				continue
			}
			r.unique(tokens, place, token)
		}
		if rate := n.GetRate(); math.IsNaN(rate) || math.IsInf(rate, 0) || rate <= 0 {
			r.add(field+".rate", "%v is not a positive number", rate)
		}
		if n.GetConcurrency() == 0 {
			r.add(field+".concurrency", "is not positive")
		}
		r.classes(field, n.GetClasses())
	}
}

func (r *report) classes(parent string, classes []*config.Class) {
	names := map[string]string{}
	for i, c := range classes {
		field := fmt.Sprintf("%s.classes[%d]", parent, i)
		r.name(field+".name", c.GetName())
		r.unique(names, field+".name", c.GetName())
		r.fraction(field+".floor", c.GetFloor())
		goal := r.goal(field+".goal", c.GetGoal())
		deadline := r.duration(field+".deadline", c.GetDeadline(), false)
		if deadline > 0 && goal > deadline {
			r.add(field+".goal", "%s is after the deadline of %s", goal, deadline)
		}
	}
}

// goal checks a latency goal. Zero, like none, means that answers wait for
// their deadline.
func (r *report) goal(field string, d *durationpb.Duration) time.Duration {
	if d == nil || (d.IsValid() && d.AsDuration() == 0) {
		return 0
	}
	return r.duration(field, d, true)
}

func (r *report) policy(p *config.Policy) {
	r.fraction("policy.hedge", p.GetHedge())
	r.fraction("policy.retry", p.GetRetry())
	r.duration("policy.retention", p.GetRetention(), true)
	r.duration("policy.quarantine", p.GetQuarantine(), true)
}

// sizes checks that every part can be stored.
func (r *report) sizes(cfg *config.Config) {
	parts, err := configencoder.Encode(cfg)
	if err != nil {
		r.add("", "can not be encoded: %v", err)
		return
	}
	for _, p := range parts {
		if len(p.Value) > configencoder.MaxValueBytes {
			r.add(p.Field, "takes %d bytes where %d can be stored", len(p.Value), configencoder.MaxValueBytes)
		}
	}
}
