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
	// SchemaVersion is the schema version of the collections of a plan.
	SchemaVersion = "v1"
	// unlimited keeps the institution's terms from binding, so that the load
	// reaches the targets.
	unlimited = 1e6

	// Last numbers of the IP addresses of a data centre.
	targetHostNumber = 100
	kvHostNumber     = 250

	// Offsets from the plan's port.
	httpPortOffset   = 0
	peerPortOffset   = 1
	adminPortOffset  = 2
	targetPortOffset = 100

	// relayNetOffset is added to the third number of an address to get that of the
	// relay before it.
	relayNetOffset = 100
	maxPort        = 1<<16 - 1
)

// Snapshot is one snapshot of every collection of a plan.
type Snapshot struct {
	ID string
	// ShardsPerGroup is the number of shards of each replica group.
	ShardsPerGroup int
}

// LatencyModel is the distribution of execution times of the stand-ins.
type LatencyModel struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the time.
	Sigma float64
	// SlowFraction is the fraction of calls that take SlowFactor times as long.
	SlowFraction float64
	SlowFactor   float64
}

// Mean returns the mean execution time: that of the log-normal distribution,
// median·exp(sigma²/2), with the slow calls.
func (p LatencyModel) Mean() time.Duration {
	mean := float64(p.Median) * math.Exp(p.Sigma*p.Sigma/2)
	return time.Duration(mean * (1 + p.SlowFraction*(p.SlowFactor-1)))
}

// Plan is a deployment on loopback addresses. Data centre c has the addresses
// 127.0.c.n; the relays before them have 127.0.(100+c).n.
type Plan struct {
	Profile Profile
	// Daemons is the number of daemons over all data centres.
	Daemons int
	// Port is the first port in use.
	Port int
	// Snapshots are served side by side, the last one being current.
	Snapshots    []Snapshot
	LatencyModel LatencyModel
	// QueueLimit is the number of requests that may wait at each target.
	QueueLimit int
	// KVAddress is the address of the key-value service.
	KVAddress string
	// HostsURL is the URL of the host list. Optional.
	HostsURL string
	// Relay puts a relay before every listener, with the profile's latencies.
	Relay bool
}

// Validate returns an error that names the first field at fault.
func (p *Plan) Validate() error {
	switch {
	case p.Daemons < 1 || p.Daemons > p.Profile.DataCentres*(targetHostNumber-1):
		return eris.Errorf("field daemons: %d is not in [1,%d]", p.Daemons, p.Profile.DataCentres*(targetHostNumber-1))
	case p.Port < 1024 || p.Port+targetPortOffset+len(p.targets()) > maxPort:
		return eris.Errorf("field port: %d leaves too few ports from 1024 to %d", p.Port, maxPort)
	case len(p.Snapshots) == 0:
		return eris.New("field snapshots: at least one is needed")
	case p.LatencyModel.Median <= 0:
		return eris.Errorf("field median: %v is not positive", p.LatencyModel.Median)
	case p.LatencyModel.SlowFraction < 0 || p.LatencyModel.SlowFraction > 1:
		return eris.Errorf("field slow: %v is not in [0,1]", p.LatencyModel.SlowFraction)
	}
	for _, s := range p.Snapshots {
		if s.ShardsPerGroup < 1 {
			return eris.Errorf("field snapshots: snapshot %q has no shards", s.ID)
		}
	}
	return nil
}

// plannedTarget is one target of a plan.
type plannedTarget struct {
	id      string
	service Service
	// dc counts from 1.
	dc       int
	port     int
	instance int
}

// address returns the address of the target, or of the relay before it.
func (s *plannedTarget) address(relayed bool) string {
	return address(s.dc, targetHostNumber, s.port, relayed)
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

// targets lists the targets of all services.
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

// Config returns the operators' configuration. Relayed gives the addresses of
// the relays in place of the targets' own.
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

// shards divides the keys, four hexadecimal digits, evenly among the shards.
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

// lowerBound returns the lower bound of the keys of shard i of n.
func lowerBound(i, n int) string {
	if i == 0 || i == n {
		return ""
	}
	return fmt.Sprintf("%04x", i<<16/n)
}

// replicaGroups returns the ids of the targets that hold the same shards. An
// instance of two searchers is one group; in a larger one each searcher forms
// a group with the next, the last with the first.
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

// EntryURLs returns the URLs of the daemons' listeners for callers.
func (p *Plan) EntryURLs() []string {
	var urls []string
	for _, d := range p.daemons() {
		urls = append(urls, "http://"+d.address(httpPortOffset, p.Relay))
	}
	return urls
}

// collectionNames lists the collections in the order of the profile.
func (p *Plan) collectionNames() []string {
	var names []string
	for _, s := range p.Profile.Services {
		names = append(names, s.Collection)
	}
	return slices.Clip(names)
}
