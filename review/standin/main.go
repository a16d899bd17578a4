// Command reviewstand runs one case of the review: it starts the platform's store, searchers
// and consumers as stand-ins, and the project's daemons as processes of their own.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
)

// host is the host of all routes.
const host = "records.example"

// zones of the small deployment that the cases resemble.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// stand is what the cases have in common.
type stand struct {
	log     *journal
	store   *store
	fleet   *fleet
	dir     string
	trouble bool
	ids     int
	mu      sync.Mutex
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*stand) (verdict, error){
	"forged": runForged,
	"stray":  runStray,
	"queue":  runQueue,
	"relay":  runRelay,
	"stop":   runStop,
	"poison": runPoison,
}

func main() {
	// The daemons are ended with the thread that has started them, see fleet.start.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstand CASE RECORD")
		os.Exit(2)
	}
	code, err := run(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(name, record string) (int, error) {
	log, err := newJournal(record)
	if err != nil {
		return 2, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	s := &stand{log: log, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if s.store, err = newStore(); err != nil {
		return 2, err
	}
	defer func() {
		if s.fleet != nil {
			s.fleet.stop()
		}
	}()
	v, err := cases[name](s)
	if err != nil {
		log.add("the case could not run: %v", err)
		return 2, err
	}
	log.add("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1, nil
	}
	return 0, nil
}

// nextID returns the id of the next request.
func (s *stand) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids++
	return "q" + strconv.Itoa(s.ids)
}

// route is a route of the operator's configuration.
type route struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"prefix"`
	Type     string   `json:"route-type"`
	Timeout  int      `json:"timeout-ms"`
	Latency  int      `json:"target-latency-ms"`
	Priority int      `json:"priority"`
	Attempts int      `json:"max-attempts"`
	Service  string   `json:"service,omitempty"`
	Shards   []string `json:"shards,omitempty"`
	TopK     int      `json:"top-k,omitempty"`
	Coverage float64  `json:"min-coverage,omitempty"`
}

// configure writes the operator's configuration.
func (s *stand) configure(version, maxConnections int, routes []route, services ...string) {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health-path": "/health", "max-connections": maxConnections, "protocol": "h1", "tls": false})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.store.put("op/config", value)
	s.log.add("configuration: %s", value)
}
