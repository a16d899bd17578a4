// Package deploymentplanner holds the sizes of two users' deployments and writes the
// operators' configuration, the daemons' settings and the stand-ins' files
// that reproduce them on loopback addresses.
package deploymentplanner

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Service is one collection with the targets that hold it.
type Service struct {
	// Collection is the name of the collection. It begins the ids of the
	// service's shards and targets.
	Collection string
	// Instances are scaled with the deployment.
	Instances int
	// TargetsPerInstance is the number of targets of each instance. The searchers of
	// an instance lie in different data centres. Two of them hold the same
	// shards; of three or more, each shard is held by two neighbours.
	TargetsPerInstance int
	Slots              int
	Connections        int
	// SetupTime is the time that a new connection takes.
	SetupTime time.Duration
}

// Class is a kind of query with its terms and its share of the load.
type Class struct {
	Name       string
	Collection string
	// Weight is the share of the load, relative to the other classes.
	Weight float64
	// Floor is the coverage in [0,1] at which an answer may come early.
	Floor float64
	// Goal is the time after which an answer at the floor is returned. Zero
	// means that an answer waits for full coverage.
	Goal time.Duration
	// Canary asks one shard first for queries that have not completed before.
	Canary bool
	// Deadline is sent with each request.
	Deadline time.Duration
	// PageSize is the number of records wanted in a page.
	PageSize int
	// PageCount is the number of pages that a caller reads, each after the other.
	PageCount int
	// TermCount is the number of words that the records must contain.
	TermCount int
	// Mutation tells that requests of the class are not idempotent.
	Mutation bool
}

// Profile is one user's deployment and load.
type Profile struct {
	Name string
	// DataCentres is the number of data centres.
	DataCentres int
	// CrossDataCentreLatency is the one-way time between data centres.
	CrossDataCentreLatency time.Duration
	// CallerLatency is the one-way time between callers and daemons.
	CallerLatency time.Duration
	Services      []Service
	Classes       []Class
}

var profiles = map[string]Profile{
	"kahikatea": kahikatea(),
	"corrib":    corrib(),
}

// ProfileNames returns the names of the profiles.
func ProfileNames() []string {
	return slices.Sorted(maps.Keys(profiles))
}

// FindProfile returns a profile by its name.
func FindProfile(name string) (Profile, error) {
	p, ok := profiles[name]
	if !ok {
		return Profile{}, eris.Errorf("profile %q is none of %v", name, ProfileNames())
	}
	return p, nil
}

// Scale returns the profile with a fraction of its instances, at least one for
// each data centre of a service that has as many.
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

// SelectClasses returns the profile with some of its classes only. No names mean all.
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

// ShardCount returns the number of shards of a service.
func (s Service) ShardCount(split int) int {
	return s.Instances * split * s.groupsPerInstance()
}

// groupsPerInstance returns the number of replica groups of one instance.
func (s Service) groupsPerInstance() int {
	if s.TargetsPerInstance <= 2 {
		return 1
	}
	return s.TargetsPerInstance
}

// Capacity returns the requests a second at which the load of the classes
// fills all slots of one service, for a mean execution time. Each page of a read
// asks every shard once; a mutation runs on one target. Pages after the first
// are not counted as requests.
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

// callsPerRequest returns the calls to targets for one request of the class.
func (c Class) callsPerRequest(shards int) float64 {
	if c.Mutation {
		return 1
	}
	return float64(shards * max(1, c.PageCount))
}
