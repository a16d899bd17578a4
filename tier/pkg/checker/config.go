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

// tokenDigest matches the digest of a bearer token: SHA-256 in lower-case hex.
var tokenDigest = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Config validates a configuration. It returns all problems, none if the
// configuration can be accepted.
func Config(cfg *config.Config) []Problem {
	r := &report{}
	targetIDs := r.checkTargets(cfg.GetTargets())
	names := map[string]string{}
	for i, c := range cfg.GetCollections() {
		field := fmt.Sprintf("collections[%d]", i)
		r.checkName(field+".name", c.GetName())
		r.checkUnique(names, field+".name", c.GetName())
		r.checkVersions(field, c.GetVersions(), targetIDs)
	}
	r.checkInstitutions(cfg.GetInstitutions())
	r.checkPolicy(cfg.GetPolicy())
	r.refusePlainRequests(cfg)
	r.checkPartSizes(cfg)
	return r.problems
}

// refusePlainRequests refuses routes, pools and limits. They configure plain
// requests, and daemons read them from the platform's store instead.
func (r *report) refusePlainRequests(cfg *config.Config) {
	const reason = "can not be set here; plain requests are configured in the platform's store"
	if len(cfg.GetRoutes()) > 0 {
		r.add("routes", reason)
	}
	if len(cfg.GetPools()) > 0 {
		r.add("pools", reason)
	}
	if cfg.GetLimits() != nil {
		r.add("limits", reason)
	}
	if len(cfg.GetPolicy().GetEvacuations()) > 0 {
		r.add("policy.evacuations", reason)
	}
}

// checkTargets checks the targets. It returns the field of each target id.
func (r *report) checkTargets(targets []*config.Target) map[string]string {
	ids, addresses := map[string]string{}, map[string]string{}
	for i, t := range targets {
		field := fmt.Sprintf("targets[%d]", i)
		r.checkName(field+".id", t.GetId())
		r.checkUnique(ids, field+".id", t.GetId())
		if _, ok := r.checkAddress(field+".address", t.GetAddress(), false); ok {
			r.checkUnique(addresses, field+".address", t.GetAddress())
		}
		r.checkName(field+".datacentre", t.GetDatacentre())
		if t.GetSlots() == 0 {
			r.add(field+".slots", "is not positive")
		}
		if t.GetConnections() == 0 {
			r.add(field+".connections", "is not positive")
		}
	}
	return ids
}

func (r *report) checkVersions(parent string, versions []*config.Version, targetIDs map[string]string) {
	if len(versions) == 0 {
		r.add(parent+".versions", "is empty")
	}
	names := map[string]string{}
	for i, v := range versions {
		field := fmt.Sprintf("%s.versions[%d]", parent, i)
		r.checkName(field+".name", v.GetName())
		r.checkUnique(names, field+".name", v.GetName())
		r.checkSnapshots(field, v.GetSnapshots(), targetIDs)
	}
}

func (r *report) checkSnapshots(parent string, snapshots []*config.Snapshot, targetIDs map[string]string) {
	if len(snapshots) == 0 {
		r.add(parent+".snapshots", "is empty")
	}
	ids := map[string]string{}
	for i, s := range snapshots {
		field := fmt.Sprintf("%s.snapshots[%d]", parent, i)
		r.checkName(field+".id", s.GetId())
		r.checkUnique(ids, field+".id", s.GetId())
		r.checkShards(field, s.GetShards(), targetIDs)
		r.checkKeyRanges(field, s.GetShards())
	}
}

func (r *report) checkShards(parent string, shards []*config.Shard, targetIDs map[string]string) {
	ids := map[string]string{}
	for i, s := range shards {
		field := fmt.Sprintf("%s.shards[%d]", parent, i)
		r.checkName(field+".id", s.GetId())
		r.checkUnique(ids, field+".id", s.GetId())
		if len(s.GetReplicas()) == 0 {
			r.add(field+".replicas", "is empty")
		}
		replicas := map[string]string{}
		for j, target := range s.GetReplicas() {
			replica := fmt.Sprintf("%s.replicas[%d]", field, j)
			if _, found := targetIDs[target]; !found {
				r.add(replica, "%q is not the id of a target", target)
			}
			r.checkUnique(replicas, replica, target)
		}
	}
}

// checkKeyRanges checks that the key ranges of the shards cover the key space without
// gaps or overlaps.
func (r *report) checkKeyRanges(parent string, shards []*config.Shard) {
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
		r.add(fmt.Sprintf("%s.shards[%d].from", parent, order[0]), "no shard covers the keys before %q", first.GetFrom())
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
				r.add(field, "no shard covers the keys from %q on", to)
			}
			continue
		}
		next := shards[order[n+1]].GetFrom()
		switch {
		case to == "" || to > next:
			r.add(field, "the key range overlaps that of shard %q", shards[order[n+1]].GetId())
		case to < next:
			r.add(field, "no shard covers the keys from %q to %q", to, next)
		}
	}
}

func (r *report) checkInstitutions(institutions []*config.Institution) {
	names, tokens := map[string]string{}, map[string]string{}
	for i, institution := range institutions {
		field := fmt.Sprintf("institutions[%d]", i)
		r.checkName(field+".name", institution.GetName())
		r.checkUnique(names, field+".name", institution.GetName())
		for j, token := range institution.GetTokens() {
			tokenField := fmt.Sprintf("%s.tokens[%d]", field, j)
			if !tokenDigest.MatchString(token) {
				r.add(tokenField, "is not a SHA-256 digest of 64 lower-case hex digits")
				continue
			}
			r.checkUnique(tokens, tokenField, token)
		}
		if rate := institution.GetRate(); math.IsNaN(rate) || math.IsInf(rate, 0) || rate <= 0 {
			r.add(field+".rate", "%v is not a positive number", rate)
		}
		if institution.GetConcurrency() == 0 {
			r.add(field+".concurrency", "is not positive")
		}
		if institution.GetBurst() != 0 || institution.Rank != nil {
			r.add(field, "can not have a burst or a rank here; they apply to plain requests only")
		}
		r.checkClasses(field, institution.GetClasses())
	}
}

func (r *report) checkClasses(parent string, classes []*config.Class) {
	names := map[string]string{}
	for i, c := range classes {
		field := fmt.Sprintf("%s.classes[%d]", parent, i)
		r.checkName(field+".name", c.GetName())
		r.checkUnique(names, field+".name", c.GetName())
		r.checkFraction(field+".floor", c.GetFloor())
		goal := r.checkGoal(field+".goal", c.GetGoal())
		deadline := r.checkDuration(field+".deadline", c.GetDeadline(), false)
		if deadline > 0 && goal > deadline {
			r.add(field+".goal", "%s exceeds the deadline of %s", goal, deadline)
		}
	}
}

// checkGoal checks a latency goal and returns it. An absent goal and a goal of zero
// both mean that answers may wait until their deadline.
func (r *report) checkGoal(field string, d *durationpb.Duration) time.Duration {
	if d == nil || (d.IsValid() && d.AsDuration() == 0) {
		return 0
	}
	return r.checkDuration(field, d, true)
}

func (r *report) checkPolicy(p *config.Policy) {
	r.checkFraction("policy.hedge", p.GetHedge())
	r.checkFraction("policy.retry", p.GetRetry())
	r.checkDuration("policy.retention", p.GetRetention(), true)
	r.checkDuration("policy.quarantine", p.GetQuarantine(), true)
}

// checkPartSizes checks that no part exceeds the value size limit of the store.
func (r *report) checkPartSizes(cfg *config.Config) {
	parts, err := configencoder.Encode(cfg)
	if err != nil {
		r.add("", "can not be encoded: %v", err)
		return
	}
	for _, p := range parts {
		if len(p.Value) > configencoder.MaxValueBytes {
			r.add(p.Field, "takes %d bytes, more than the limit of %d", len(p.Value), configencoder.MaxValueBytes)
		}
	}
}
