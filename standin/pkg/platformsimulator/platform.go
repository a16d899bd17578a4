package platformsimulator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Platform runs the platform's store, which holds the operators' configuration, and
// services whose targets register in the store. The route /all/ queries one service per
// shard. The routes /one/ and /write/ use the service "single". Requests to /write/ are
// not idempotent and may be executed at most once.
type Platform struct {
	store             *Store
	server            *http.Server
	address           string
	version           int64
	config            Config
	keys              keyring
	registeredAddress func(id, address string) string
	crashOn           func(r *http.Request) bool
	crashed           func(id string)
	crashDelay        time.Duration
	records           int
	clock             clockwork.Clock

	// mu guards the following fields. AddService may run concurrently with readers.
	mu      sync.Mutex
	targets []*Target
	closed  bool
	// entries holds the entries of the registered targets by store key.
	entries map[string][]byte
	// evacuated holds the data centres with an order to evacuate them.
	evacuated map[string]bool
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
	AuthExempt          bool     `json:"auth-exempt,omitempty"`
}

// Split is one service of a route's traffic split, with its weight.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a service of the operators' configuration.
type Service struct {
	Name           string `json:"name"`
	MaxConnections int    `json:"max-connections"`
	HealthPath     string `json:"health-path"`
	// WarmupSeconds is the time for which targets are cold after their start, and
	// WarmupPerSecond the number of requests a second that each takes meanwhile, or 0.
	WarmupSeconds   float64 `json:"warmup-s"`
	WarmupPerSecond float64 `json:"warmup-per-s"`
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
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// RouteHost is the HTTP host of all routes.
const RouteHost = "records.example"

// Options describe a Platform.
type Options struct {
	// Shards is the number of services of the route /all/.
	Shards int
	// Replicas is the number of targets of each service.
	Replicas int
	// DataCentres are the data centres that the targets are spread over.
	DataCentres []string
	// RegisteredAddress returns the address to register for a target, given its
	// id and the address that it listens on. If nil, targets are registered with
	// the address that they listen on.
	RegisteredAddress func(id, address string) string
	// Records is the number of records in the answers of a target, of 16 bytes each. Zero means
	// recordsPerTarget.
	Records int
	// CrashOn selects the requests that crash each target that executes them. It may
	// be nil.
	CrashOn func(r *http.Request) bool
	// CrashDelay is the time from the begin of the execution of such a request to the crash.
	CrashDelay time.Duration
	// Crashed is called with the id of a target that crashes, before its connections
	// are closed. It may be nil.
	Crashed func(id string)
}

const (
	// slotsPerTarget is the number of requests that a target executes at once.
	slotsPerTarget = 4
	// recordsPerTarget is the usual number of records in the answers of a target.
	recordsPerTarget = 25
	// maxConnections is the connection limit of each service in the configuration.
	maxConnections = 40
	// restartDelay is the time after which a crashed target is replaced by a new
	// process with a new id.
	restartDelay = 1500 * time.Millisecond
)

// NewPlatform starts the store and the targets on loopback addresses and writes the
// first version of the configuration.
func NewPlatform(o Options) (*Platform, error) {
	p := &Platform{
		store:             NewStore(clockwork.NewRealClock()),
		registeredAddress: o.RegisteredAddress,
		crashOn:           o.CrashOn,
		crashed:           o.Crashed,
		crashDelay:        o.CrashDelay,
		records:           cmp.Or(o.Records, recordsPerTarget),
		clock:             clockwork.NewRealClock(),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	p.server = &http.Server{
		Handler: p.store,
	}
	go func() {
		// Serve returns after Close.
		_ = p.server.Serve(l)
	}()
	p.config = Config{
		Limits: Limits{
			MaxHeaderBytes:      16384,
			MaxBodyBytes:        262144,
			HeaderTimeoutMillis: 3000,
			IdleTimeoutMillis:   15000,
		},
	}
	var shards []string
	for i := range o.Shards {
		shards = append(shards, fmt.Sprintf("shard-%02d", i))
	}
	for _, name := range append(shards, "single") {
		if err := p.AddService(name, o.Replicas, o.DataCentres); err != nil {
			p.Close()
			return nil, err
		}
	}
	p.config.Routes = initialRoutes(shards)
	return p, p.UpdateConfig(func(*Config) {})
}

func initialRoutes(shards []string) []Route {
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
func (p *Platform) Store() *Store { return p.store }

// StoreAddress returns the store's address.
func (p *Platform) StoreAddress() string { return p.address }

// UpdateConfig changes the configuration and writes it as the next version.
func (p *Platform) UpdateConfig(change func(c *Config)) error {
	change(&p.config)
	p.keys.record(p.config.Tenants, p.clock.Now())
	p.version++
	p.config.Version = p.version
	return p.writeConfig()
}

func (p *Platform) writeConfig() error {
	value, err := json.Marshal(p.config)
	if err != nil {
		return err
	}
	return p.store.Put("op/config", value)
}

// Close stops the store and all targets.
func (p *Platform) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.server.Close()
	for _, t := range p.AllTargets() {
		t.Close()
	}
}
