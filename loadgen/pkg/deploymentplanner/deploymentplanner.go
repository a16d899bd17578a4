// Package deploymentplanner defines profiles of the deployments and loads of two
// users. It writes the operators' configuration, the daemons' settings and the
// stand-ins' files that reproduce a profile on loopback addresses.
package deploymentplanner

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Service is a collection with the targets that serve it.
type Service struct {
	// Collection is the name of the collection. It is the prefix of the ids of the
	// service's shards and targets.
	Collection string
	// Instances is the number of instances. An instance is a set of targets that
	// serves its own range of the keys. Profile.Scale multiplies the number.
	Instances int
	// TargetsPerInstance is the number of targets of each instance. They are in
	// different data centres. Two targets hold the same shards. With three or more
	// targets, each shard is held by two consecutive ones.
	TargetsPerInstance int
	// Slots is the number of requests that each target executes concurrently.
	Slots int
	// Connections is the number of connections that each target accepts from all
	// daemons together.
	Connections int
	// SetupTime is the time from the arrival of a connection at a target until the
	// target serves it.
	SetupTime time.Duration
}

// Class is a class of requests with its settings and its weight in the load.
type Class struct {
	Name       string
	Collection string
	// Weight determines the fraction of requests in this class: the weight divided
	// by the sum of the weights of all classes.
	Weight float64
	// Floor is the coverage in [0,1] at which an answer may be returned after Goal.
	Floor float64
	// Goal is the time after which an answer is returned once its coverage has
	// reached the floor. Zero means that answers wait for full coverage.
	Goal time.Duration
	// Canary makes the tier send a query that has not completed before to one shard
	// first.
	Canary bool
	// Deadline is the deadline that is sent with each request.
	Deadline time.Duration
	// PageSize is the number of records requested for each page.
	PageSize int
	// PageCount is the number of pages that a caller reads one after the other.
	PageCount int
	// TermCount is the number of words that matching records must contain.
	TermCount int
	// Mutation is true if the requests of the class are mutations, which are not
	// idempotent.
	Mutation bool
}

// Profile is the deployment and the load of one user.
type Profile struct {
	Name string
	// DataCentres is the number of data centres of the deployment.
	DataCentres int
	// CrossDataCentreLatency is the one-way network latency between data centres.
	CrossDataCentreLatency time.Duration
	// CallerLatency is the one-way network latency between callers and daemons.
	CallerLatency time.Duration
	Services      []Service
	Classes       []Class
}

var profiles = map[string]Profile{
	"kahikatea": kahikatea(),
	"corrib":    corrib(),
}

// ProfileNames returns the sorted names of the profiles.
func ProfileNames() []string {
	return slices.Sorted(maps.Keys(profiles))
}

// FindProfile returns the profile with the given name.
func FindProfile(name string) (Profile, error) {
	p, ok := profiles[name]
	if !ok {
		return Profile{}, eris.Errorf("profile %q is not one of %v", name, ProfileNames())
	}
	return p, nil
}

// Scale returns the profile with the number of instances of each service multiplied
// by factor. A service keeps at least one instance for each data centre, or all its
// instances if it has fewer.
func (p Profile) Scale(factor float64) (Profile, error) {
	if factor <= 0 || math.IsInf(factor, 0) || math.IsNaN(factor) {
		return Profile{}, eris.Errorf("scale %v is not a positive number", factor)
	}
	scaled := p
	scaled.Services = slices.Clone(p.Services)
	for i, s := range scaled.Services {
		n := int(math.Ceil(float64(s.Instances) * factor))
		scaled.Services[i].Instances = max(n, min(s.Instances, p.DataCentres))
	}
	return scaled, nil
}

// SelectClasses returns the profile with only the named classes. It returns the
// whole profile if there are no names.
func (p Profile) SelectClasses(names []string) (Profile, error) {
	if len(names) == 0 {
		return p, nil
	}
	selected := p
	selected.Classes = nil
	for _, name := range names {
		i := slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
		if i < 0 {
			return Profile{}, eris.Errorf("profile %s has no class %q", p.Name, name)
		}
		selected.Classes = append(selected.Classes, p.Classes[i])
	}
	return selected, nil
}

// ShardCount returns the number of shards of the service, given the number of
// shards of each replica group.
func (s Service) ShardCount(split int) int {
	return s.Instances * split * s.groupsPerInstance()
}

// groupsPerInstance returns the number of replica groups of each instance.
func (s Service) groupsPerInstance() int {
	if s.TargetsPerInstance <= 2 {
		return 1
	}
	return s.TargetsPerInstance
}

// Capacity returns the rate of all classes together, in requests per second, at which
// the first service has no free slots left. Split is the number of shards of each
// replica group and mean the mean execution time. Each page of a read calls every
// shard once, and a mutation calls one target. The rate does not count pages after
// the first as requests.
func (p Profile) Capacity(split int, mean time.Duration) float64 {
	var total float64
	for _, c := range p.Classes {
		total += c.Weight
	}
	capacity := math.Inf(1)
	for _, s := range p.Services {
		var calls float64
		for _, c := range p.Classes {
			if c.Collection == s.Collection {
				calls += c.Weight / total * c.callsPerRequest(s.ShardCount(split))
			}
		}
		if calls > 0 {
			slots := float64(s.Instances * s.TargetsPerInstance * s.Slots)
			capacity = min(capacity, slots/(calls*mean.Seconds()))
		}
	}
	return capacity
}

// callsPerRequest returns the number of calls to targets for one request of the
// class, given the number of shards of its collection.
func (c Class) callsPerRequest(shards int) float64 {
	if c.Mutation {
		return 1
	}
	return float64(shards * max(1, c.PageCount))
}
