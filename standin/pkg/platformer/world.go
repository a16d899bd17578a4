package platformer

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"plantaincleat/standin/pkg/responder"
)

// World is a store with services that register in it, and an operator. Each
// service holds one shard of the route /all/; those after the shards serve the
// route /one/ together, and requests to /write/ may run once.
type World struct {
	store   *Store
	server  *http.Server
	address string
	version int64
	doc     Document
	through func(id, address string) string

	// mu guards targets, which may be added to while others look.
	mu      sync.Mutex
	targets []*Target
}

// Target is a target with its entry in the store.
type Target struct {
	*responder.Responder
	Service string
	Zone    string
	// Registered is the address in the target's entry.
	Registered string
}

// Route is a route of the operators' configuration.
type Route struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"prefix"`
	Type     string   `json:"route-type"`
	Timeout  int      `json:"timeout-ms"`
	Target   int      `json:"target-latency-ms"`
	Priority int      `json:"priority"`
	Attempts int      `json:"max-attempts"`
	Service  string   `json:"service,omitempty"`
	Split    []Split  `json:"traffic-split,omitempty"`
	Shards   []string `json:"shards,omitempty"`
	Top      int      `json:"top-k,omitempty"`
	Floor    float64  `json:"min-coverage,omitempty"`
}

// Split is a service's part of a route.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a service of the operators' configuration.
type Service struct {
	Name        string `json:"name"`
	Connections int    `json:"max-connections"`
}

// Limits bound what callers may send.
type Limits struct {
	Header        int `json:"max-header-bytes"`
	Body          int `json:"max-body-bytes"`
	HeaderTimeout int `json:"header-timeout-ms"`
	IdleTimeout   int `json:"idle-timeout-ms"`
}

// Document is the operators' configuration.
type Document struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Host is the host of all routes.
const Host = "records.example"

// Size tells how large a world is.
type Size struct {
	// Shards is the number of services of the route /all/.
	Shards int
	// Replicas is the number of targets of each service.
	Replicas int
	// Zones are the data centres of the targets, in turn.
	Zones []string
	// Through returns the address at which a target is registered, given its
	// name and its own address, which is taken without it.
	Through func(id, address string) string
}

const (
	slots       = 4
	records     = 25
	connections = 40
)

// NewWorld starts the store and the targets on loopback addresses and writes
// the first configuration.
func NewWorld(size Size) (*World, error) {
	w := &World{
		store:   NewStore(clockwork.NewRealClock()),
		through: size.Through,
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
	w.doc = Document{
		Limits: Limits{
			Header:        16384,
			Body:          262144,
			HeaderTimeout: 3000,
			IdleTimeout:   15000,
		},
	}
	var shards []string
	for i := range size.Shards {
		shards = append(shards, fmt.Sprintf("shard-%02d", i))
	}
	for _, name := range append(shards, "single") {
		if err := w.AddService(name, size.Replicas, size.Zones); err != nil {
			w.Close()
			return nil, err
		}
	}
	w.doc.Routes = firstRoutes(shards)
	return w, w.Apply(func(*Document) {})
}

func firstRoutes(shards []string) []Route {
	return []Route{
		{
			Name:     "all",
			Host:     Host,
			Prefix:   "/all/",
			Type:     "idempotent",
			Timeout:  1200,
			Target:   300,
			Priority: 1,
			Attempts: 2,
			Shards:   shards,
			Top:      10,
			Floor:    0.75,
		},
		{
			Name:     "one",
			Host:     Host,
			Prefix:   "/one/",
			Type:     "idempotent",
			Timeout:  2000,
			Target:   300,
			Priority: 2,
			Attempts: 2,
			Service:  "single",
		},
		{
			Name:     "write",
			Host:     Host,
			Prefix:   "/write/",
			Type:     "non_idempotent",
			Timeout:  2000,
			Target:   300,
			Priority: 2,
			Attempts: 2,
			Service:  "single",
		},
	}
}

// Store returns the store.
func (w *World) Store() *Store { return w.store }

// Address returns the store's address.
func (w *World) Address() string { return w.address }

// All returns all targets.
func (w *World) All() []*Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.targets)
}

// Targets returns those of a service.
func (w *World) Targets(service string) []*Target {
	var out []*Target
	for _, t := range w.All() {
		if t.Service == service {
			out = append(out, t)
		}
	}
	return out
}

// AddService starts the targets of a service and registers them.
func (w *World) AddService(name string, replicas int, zones []string) error {
	w.doc.Services = append(w.doc.Services, Service{
		Name:        name,
		Connections: connections,
	})
	for i := range replicas {
		zone := zones[(len(w.All())+i)%len(zones)]
		r, err := responder.New(fmt.Sprintf("%s-%d", name, i), slots, records)
		if err != nil {
			return err
		}
		t := &Target{
			Responder:  r,
			Service:    name,
			Zone:       zone,
			Registered: r.Address(),
		}
		if w.through != nil {
			t.Registered = w.through(t.ID(), t.Address())
		}
		w.mu.Lock()
		w.targets = append(w.targets, t)
		w.mu.Unlock()
		if err := w.Register(t, "ready"); err != nil {
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

// Register writes the entry of a target.
func (w *World) Register(t *Target, state string) error {
	value, err := json.Marshal(entry{
		Service: t.Service,
		Address: t.Registered,
		Zone:    t.Zone,
		Version: "v1",
		Slots:   slots,
		State:   state,
	})
	if err != nil {
		return err
	}
	return w.store.Put("servers/"+t.ID(), value)
}

// Unregister removes the entry of a target.
func (w *World) Unregister(t *Target) error { return w.store.Delete("servers/" + t.ID()) }

// Apply writes another version of the configuration.
func (w *World) Apply(change func(d *Document)) error {
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
func (w *World) Close() {
	_ = w.server.Close()
	for _, t := range w.All() {
		t.Close()
	}
}
