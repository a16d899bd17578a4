package platformsimulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"plantaincleat/standin/pkg/httpresponder"
)

// Platform is a store with services that register in it, and an operator. Each
// service holds one shard of the route /all/; those after the shards serve the
// route /one/ together, and requests to /write/ may run once.
type Platform struct {
	store   *Store
	server  *http.Server
	address string
	version int64
	doc     Config
	through func(id, address string) string

	// mu guards targets, which may be added to while others look.
	mu      sync.Mutex
	targets []*Target
}

// Target is a target with its entry in the store.
type Target struct {
	*httpresponder.Responder
	Service    string
	DataCentre string
	// RegisteredAddress is the address in the target's entry.
	RegisteredAddress string
}

// Route is a route of the operators' configuration.
type Route struct {
	Name                string   `json:"name"`
	Host                string   `json:"host"`
	Prefix              string   `json:"prefix"`
	Type                string   `json:"route-type"`
	TimeoutMillis       int      `json:"timeout-ms"`
	TargetLatencyMillis int      `json:"target-latency-ms"`
	Priority            int      `json:"priority"`
	MaxAttempts         int      `json:"max-attempts"`
	Service             string   `json:"service,omitempty"`
	TrafficSplit        []Split  `json:"traffic-split,omitempty"`
	Shards              []string `json:"shards,omitempty"`
	TopK                int      `json:"top-k,omitempty"`
	MinCoverage         float64  `json:"min-coverage,omitempty"`
}

// Split is a service's part of a route.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a service of the operators' configuration.
type Service struct {
	Name           string `json:"name"`
	MaxConnections int    `json:"max-connections"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes      int `json:"max-header-bytes"`
	MaxBodyBytes        int `json:"max-body-bytes"`
	HeaderTimeoutMillis int `json:"header-timeout-ms"`
	IdleTimeoutMillis   int `json:"idle-timeout-ms"`
}

// Config is the operators' configuration.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// RouteHost is the host of all routes.
const RouteHost = "records.example"

// Options tells how large a world is.
type Options struct {
	// Shards is the number of services of the route /all/.
	Shards int
	// Replicas is the number of targets of each service.
	Replicas int
	// DataCentres are the data centres of the targets, in turn.
	DataCentres []string
	// RegisteredAddress returns the address at which a target is registered, given its
	// name and its own address, which is taken without it.
	RegisteredAddress func(id, address string) string
}

const (
	slots       = 4
	records     = 25
	connections = 40
)

// NewPlatform starts the store and the targets on loopback addresses and writes
// the first configuration.
func NewPlatform(size Options) (*Platform, error) {
	w := &Platform{
		store:   NewStore(clockwork.NewRealClock()),
		through: size.RegisteredAddress,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{
		Handler: w.store,
	}
	go func() {
		// Ends with Close.
		_ = w.server.Serve(l)
	}()
	w.doc = Config{
		Limits: Limits{
			MaxHeaderBytes:      16384,
			MaxBodyBytes:        262144,
			HeaderTimeoutMillis: 3000,
			IdleTimeoutMillis:   15000,
		},
	}
	var shards []string
	for i := range size.Shards {
		shards = append(shards, fmt.Sprintf("shard-%02d", i))
	}
	for _, name := range append(shards, "single") {
		if err := w.AddService(name, size.Replicas, size.DataCentres); err != nil {
			w.Close()
			return nil, err
		}
	}
	w.doc.Routes = firstRoutes(shards)
	return w, w.UpdateConfig(func(*Config) {})
}

func firstRoutes(shards []string) []Route {
	return []Route{
		{
			Name:                "all",
			Host:                RouteHost,
			Prefix:              "/all/",
			Type:                "idempotent",
			TimeoutMillis:       1200,
			TargetLatencyMillis: 300,
			Priority:            1,
			MaxAttempts:         2,
			Shards:              shards,
			TopK:                10,
			MinCoverage:         0.75,
		},
		{
			Name:                "one",
			Host:                RouteHost,
			Prefix:              "/one/",
			Type:                "idempotent",
			TimeoutMillis:       2000,
			TargetLatencyMillis: 300,
			Priority:            2,
			MaxAttempts:         2,
			Service:             "single",
		},
		{
			Name:                "write",
			Host:                RouteHost,
			Prefix:              "/write/",
			Type:                "non_idempotent",
			TimeoutMillis:       2000,
			TargetLatencyMillis: 300,
			Priority:            2,
			MaxAttempts:         2,
			Service:             "single",
		},
	}
}

// Store returns the store.
func (w *Platform) Store() *Store { return w.store }

// StoreAddress returns the store's address.
func (w *Platform) StoreAddress() string { return w.address }

// AllTargets returns all targets.
func (w *Platform) AllTargets() []*Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.targets)
}

// ServiceTargets returns those of a service.
func (w *Platform) ServiceTargets(service string) []*Target {
	var out []*Target
	for _, t := range w.AllTargets() {
		if t.Service == service {
			out = append(out, t)
		}
	}
	return out
}

// AddService starts the targets of a service and registers them.
func (w *Platform) AddService(name string, replicas int, zones []string) error {
	w.doc.Services = append(w.doc.Services, Service{
		Name:           name,
		MaxConnections: connections,
	})
	for i := range replicas {
		zone := zones[(len(w.AllTargets())+i)%len(zones)]
		r, err := httpresponder.New(fmt.Sprintf("%s-%d", name, i), slots, records)
		if err != nil {
			return err
		}
		t := &Target{
			Responder:         r,
			Service:           name,
			DataCentre:        zone,
			RegisteredAddress: r.Address(),
		}
		if w.through != nil {
			t.RegisteredAddress = w.through(t.ID(), t.Address())
		}
		w.mu.Lock()
		w.targets = append(w.targets, t)
		w.mu.Unlock()
		if err := w.RegisterTarget(t, "ready"); err != nil {
			return err
		}
	}
	return nil
}

// entry is what a target says of itself.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Warmup   int    `json:"warmup-left-ms"`
	Sequence int    `json:"sequence"`
}

// RegisterTarget writes the entry of a target.
func (w *Platform) RegisterTarget(t *Target, state string) error {
	value, err := json.Marshal(entry{
		Service: t.Service,
		Address: t.RegisteredAddress,
		Zone:    t.DataCentre,
		Version: "v1",
		Slots:   slots,
		State:   state,
	})
	if err != nil {
		return err
	}
	return w.store.Put("servers/"+t.ID(), value)
}

// UnregisterTarget removes the entry of a target.
func (w *Platform) UnregisterTarget(t *Target) error { return w.store.Delete("servers/" + t.ID()) }

// UpdateConfig writes another version of the configuration.
func (w *Platform) UpdateConfig(change func(d *Config)) error {
	change(&w.doc)
	w.version++
	w.doc.Version = w.version
	value, err := json.Marshal(w.doc)
	if err != nil {
		return err
	}
	return w.store.Put("op/config", value)
}

// Close ends the store and the targets.
func (w *Platform) Close() {
	_ = w.server.Close()
	for _, t := range w.AllTargets() {
		t.Close()
	}
}
