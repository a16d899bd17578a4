package deploymentplanner

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	"plantaincleat/tier/gen/config"
)

const (
	// SchemaVersion is the schema version of all collections of a plan.
	SchemaVersion = "v1"
	// unlimited is the rate and concurrency limit of the institution. It is so high
	// that the daemons admit the whole load and the targets become the bottleneck.
	unlimited = 1e6

	// Last octets of the IP addresses in a data centre.
	targetHostNumber = 100
	kvHostNumber     = 250

	// Offsets from Plan.Port.
	httpPortOffset   = 0
	peerPortOffset   = 1
	adminPortOffset  = 2
	targetPortOffset = 100

	// relayNetOffset is added to the third octet of an IP address to get the
	// address of the relay in front of it.
	relayNetOffset = 100
	maxPort        = 1<<16 - 1
)

// Snapshot describes a snapshot that every collection of a plan has.
type Snapshot struct {
	ID string
	// ShardsPerGroup is the number of shards of each replica group.
	ShardsPerGroup int
}

// LatencyModel is the log-normal distribution of the execution times of the target
// stand-ins.
type LatencyModel struct {
	Median time.Duration
	// Sigma is the standard deviation of the natural logarithm of the execution
	// time.
	Sigma float64
	// SlowFraction is the fraction of calls, in [0,1], whose execution time is
	// multiplied by SlowFactor.
	SlowFraction float64
	SlowFactor   float64
}

// Mean returns the mean execution time: the mean of the log-normal distribution,
// median·exp(sigma²/2), increased by the slow calls.
func (p LatencyModel) Mean() time.Duration {
	mean := float64(p.Median) * math.Exp(p.Sigma*p.Sigma/2)
	return time.Duration(mean * (1 + p.SlowFraction*(p.SlowFactor-1)))
}

// Plan describes a deployment on loopback addresses. Data centre c uses the
// addresses 127.0.c.n, and the relay listens on 127.0.(100+c).n in front of them.
type Plan struct {
	Profile Profile
	// Daemons is the number of daemons in all data centres.
	Daemons int
	// Port is the lowest port in use.
	Port int
	// Snapshots are the snapshots of each collection. The last one is current.
	Snapshots    []Snapshot
	LatencyModel LatencyModel
	// QueueLimit is the maximum number of queued requests at each target.
	QueueLimit int
	// KVAddress is the address of the key-value service.
	KVAddress string
	// HostsURL is the URL of the host list. It may be empty.
	HostsURL string
	// Relay adds a relay that simulates the latencies of the profile. It is in front
	// of the daemons' HTTP and peer listeners, the targets and the key-value service.
	Relay bool
}

// Validate returns an error that names the first invalid field, or nil.
func (p *Plan) Validate() error {
	switch {
	case p.Daemons < 1 || p.Daemons > p.Profile.DataCentres*(targetHostNumber-1):
		return eris.Errorf("field daemons: %d is not in [1,%d]", p.Daemons, p.Profile.DataCentres*(targetHostNumber-1))
	case p.Port < 1024 || p.Port+targetPortOffset+len(p.targets()) > maxPort:
		return eris.Errorf("field port: %d is below 1024 or leaves too few ports up to %d", p.Port, maxPort)
	case len(p.Snapshots) == 0:
		return eris.New("field snapshots: at least one snapshot is required")
	case p.LatencyModel.Median <= 0:
		return eris.Errorf("field median: %v is not positive", p.LatencyModel.Median)
	case p.LatencyModel.SlowFraction < 0 || p.LatencyModel.SlowFraction > 1:
		return eris.Errorf("field slow: %v is not in [0,1]", p.LatencyModel.SlowFraction)
	}
	for _, s := range p.Snapshots {
		if s.ShardsPerGroup < 1 {
			return eris.Errorf("field snapshots: snapshot %q: number of shards is not positive", s.ID)
		}
	}
	return nil
}

// plannedTarget is a target of a plan.
type plannedTarget struct {
	id      string
	service Service
	// dc is the number of the data centre, starting at 1.
	dc       int
	port     int
	instance int
}

// address returns the address of the target, or that of the relay in front of it if
// relayed is true.
func (t *plannedTarget) address(relayed bool) string {
	return address(t.dc, targetHostNumber, t.port, relayed)
}

func address(dc, host, port int, relayed bool) string {
	if relayed {
		dc += relayNetOffset
	}
	return fmt.Sprintf("127.0.%d.%d:%d", dc, host, port)
}

func dataCentreName(dc int) string {
	return fmt.Sprintf("dc%d", dc)
}

// targets returns the targets of all services.
func (p *Plan) targets() []plannedTarget {
	var list []plannedTarget
	for _, s := range p.Profile.Services {
		for i := range s.Instances {
			for j := range s.TargetsPerInstance {
				list = append(list, plannedTarget{
					id:       fmt.Sprintf("%s-%02d%c", s.Collection, i, 'a'+j),
					service:  s,
					dc:       1 + (i+j)%p.Profile.DataCentres,
					port:     p.Port + targetPortOffset + len(list),
					instance: i,
				})
			}
		}
	}
	return list
}

// Config returns the operators' configuration. If relayed is true, it contains the
// addresses of the relay in place of the targets' own addresses.
func (p *Plan) Config(relayed bool) *config.Config {
	cfg := &config.Config{
		Institutions: []*config.Institution{p.institution()},
	}
	for _, t := range p.targets() {
		cfg.Targets = append(cfg.Targets, &config.Target{
			Id:          t.id,
			Address:     t.address(relayed),
			Datacentre:  dataCentreName(t.dc),
			Slots:       uint32(t.service.Slots),
			Connections: uint32(t.service.Connections),
		})
	}
	for _, s := range p.Profile.Services {
		version := &config.Version{
			Name: SchemaVersion,
		}
		for _, snapshot := range p.Snapshots {
			version.Snapshots = append(version.Snapshots, &config.Snapshot{
				Id:     snapshot.ID,
				Shards: p.shards(s, snapshot.ShardsPerGroup),
			})
		}
		cfg.Collections = append(cfg.Collections, &config.Collection{
			Name:     s.Collection,
			Versions: []*config.Version{version},
		})
	}
	return cfg
}

// shards returns the shards of a snapshot of the service, split of them for each
// replica group. It divides the key space evenly by the first four hexadecimal
// digits of the keys.
func (p *Plan) shards(s Service, split int) []*config.Shard {
	groups := p.replicaGroups(s)
	n := len(groups) * split
	shards := make([]*config.Shard, 0, n)
	for i := range n {
		shards = append(shards, &config.Shard{
			Id:       fmt.Sprintf("%s-%03d", s.Collection, i),
			From:     lowerBound(i, n),
			To:       lowerBound(i+1, n),
			Replicas: groups[i/split],
		})
	}
	return shards
}

// lowerBound returns the lowest key of shard i of n, which is also the upper bound
// of shard i-1. It is empty at both ends of the key space.
func lowerBound(i, n int) string {
	if i == 0 || i == n {
		return ""
	}
	return fmt.Sprintf("%04x", i<<16/n)
}

// replicaGroups returns the groups of targets, by id, that hold the same shards. An
// instance of up to two targets is one group. In a larger instance, each target
// forms a group with the next one, and the last with the first.
func (p *Plan) replicaGroups(s Service) [][]string {
	var groups [][]string
	members := make([][]string, s.Instances)
	for _, t := range p.targets() {
		if t.service.Collection == s.Collection {
			members[t.instance] = append(members[t.instance], t.id)
		}
	}
	for _, m := range members {
		if s.groupsPerInstance() == 1 {
			groups = append(groups, m)
			continue
		}
		for i := range m {
			groups = append(groups, []string{m[i], m[(i+1)%len(m)]})
		}
	}
	return groups
}

func (p *Plan) institution() *config.Institution {
	institution := &config.Institution{
		Name:        p.Profile.Name,
		Rate:        unlimited,
		Concurrency: unlimited,
	}
	for _, c := range p.Profile.Classes {
		class := &config.Class{
			Name:     c.Name,
			Floor:    c.Floor,
			Canary:   c.Canary,
			Deadline: durationpb.New(c.Deadline),
		}
		if c.Goal > 0 {
			class.Goal = durationpb.New(c.Goal)
		}
		institution.Classes = append(institution.Classes, class)
	}
	return institution
}

// EntryURLs returns the URLs at which callers reach the daemons.
func (p *Plan) EntryURLs() []string {
	var urls []string
	for _, d := range p.daemons() {
		urls = append(urls, "http://"+d.address(httpPortOffset, p.Relay))
	}
	return urls
}

// collectionNames returns the names of the collections in the order of the profile.
func (p *Plan) collectionNames() []string {
	var names []string
	for _, s := range p.Profile.Services {
		names = append(names, s.Collection)
	}
	return slices.Clip(names)
}
