package soaker

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/platformsimulator"
	"plantaincleat/standin/pkg/relayer"
)

const (
	// shards is the number of shards of the first set, and laterShards of the one
	// that may follow it. Their services are named by prefixes.
	shards      = 12
	laterShards = 8
	firstPrefix = "shard-"
	laterPrefix = "part-"
	// replicas is the number of targets of each shard, in as many data centres.
	replicas = 2
	// grace is what daemons are given to stop, and graceSlack what they may
	// need beyond it on a busy host.
	grace      = 6 * time.Second
	graceSlack = 500 * time.Millisecond
	fileMode   = 0o644
	// ratio and slack bound the second sends to each shard.
	ratio = 0.2
	slack = 50.0
)

// Ports of a daemon on its own loopback address, from the first of the block.
const (
	portHTTP = iota
	portPeer
	portAdmin
	portMetrics
)

var zones = []string{"dc-1", "dc-2", "dc-3"}

// fleet is the daemons, the world behind them, and the links between.
type fleet struct {
	program   string
	directory string
	world     *platformsimulator.Platform
	relay     *relayer.Relayer
	daemons   []*daemon
	base      int
	release   func()

	// rules of the disruptions in force, by their number.
	mu    sync.Mutex
	rules map[int][]relayer.Rule
	next  int
}

// daemon is one daemon and its process.
type daemon struct {
	number int
	ip     string
	// link is where callers reach it.
	link string
	// busy is held by what signals or restarts the process.
	busy sync.Mutex
	// up is true while a process runs that was not told to stop.
	up atomic.Bool
	// incarnation counts the starts.
	incarnation atomic.Int64
	process     atomic.Pointer[deployer.Process]
	ready       atomic.Bool
}

// newFleet starts a world with some replicas of each shard, the links and n
// daemons.
func newFleet(program, directory string, n, replicas int) (*fleet, error) {
	f := &fleet{
		program:   program,
		directory: directory,
		relay:     relayer.New(nil),
		rules:     make(map[int][]relayer.Rule),
	}
	base, lock, err := deployer.ClaimPorts()
	if err != nil {
		return nil, err
	}
	f.base = base
	f.release = func() { _ = lock.Close() }
	f.world, err = platformsimulator.NewPlatform(platformsimulator.Options{
		Shards:      shards,
		Replicas:    replicas,
		DataCentres: zones,
		RegisteredAddress: func(id, address string) string {
			return f.open("target-"+id, address)
		},
	})
	if err != nil {
		f.close()
		return nil, err
	}
	var seeds []string
	for i := range n {
		d := &daemon{
			number: i,
			ip:     fmt.Sprintf("127.0.%d.%d", 1+i%len(zones), 1+i),
		}
		seeds = append(seeds, fmt.Sprintf("%q", f.open(peerLink(i), f.address(d, portPeer))))
		d.link = f.open(callerLink(i), f.address(d, portHTTP))
		f.daemons = append(f.daemons, d)
	}
	for i, d := range f.daemons {
		store := f.open(storeLink(i), f.world.StoreAddress())
		if err := f.write(d, store, seeds); err != nil {
			f.close()
			return nil, err
		}
		if err := f.start(d); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func peerLink(i int) string   { return fmt.Sprintf("peer-%d", i) }
func callerLink(i int) string { return fmt.Sprintf("caller-%d", i) }
func storeLink(i int) string  { return fmt.Sprintf("store-%d", i) }

// zonePrefix holds the addresses of a data centre's daemons.
func zonePrefix(zone int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 0, byte(1 + zone), 0}), 24)
}

// open opens a link and returns its address, which is empty if it fails.
func (f *fleet) open(name, to string) string {
	err := f.relay.Start(&relayer.Plan{
		Links: []relayer.Link{{
			Name:   name,
			Listen: "127.0.0.1:0",
			To:     to,
		}},
	})
	if err != nil {
		slog.Error("link failed", "name", name, "err", err.Error())
		return ""
	}
	counts := f.relay.Counts()
	return counts[len(counts)-1].Listen
}

func (f *fleet) address(d *daemon, port int) string {
	return fmt.Sprintf("%s:%d", d.ip, f.base+port)
}

func (f *fleet) settings(d *daemon) string {
	return filepath.Join(f.directory, fmt.Sprintf("front-%d.json", d.number))
}

func (f *fleet) write(d *daemon, store string, seeds []string) error {
	text := fmt.Sprintf(`{
  "id": "front-%d",
  "datacentre": %q,
  "listen": {"http": %q, "peer": %q, "admin": %q, "metrics": %q},
  "advertise": %s,
  "source": %q,
  "kv": [%q],
  "seeds": [%s],
  "grace": "%ds",
  "security": {"insecure": true},
  "extra": {"ratio": %g, "slack": %g, "window": "10s"}
}
`, d.number, zones[d.number%len(zones)],
		f.address(d, portHTTP), f.address(d, portPeer), f.address(d, portAdmin), f.address(d, portMetrics),
		seeds[d.number], d.ip, store, strings.Join(seeds, ", "), int(grace.Seconds()), ratio, slack)
	return eris.Wrap(os.WriteFile(f.settings(d), []byte(text), fileMode), "write settings")
}

// start starts a daemon's process.
func (f *fleet) start(d *daemon) error {
	log := filepath.Join(f.directory, fmt.Sprintf("front-%d.log", d.number))
	p, err := deployer.Start(fmt.Sprintf("front-%d", d.number), log, f.program, "--settings", f.settings(d))
	if err != nil {
		return err
	}
	d.process.Store(p)
	d.incarnation.Add(1)
	d.up.Store(true)
	return nil
}

// poll learns whether a daemon is ready, as a balancer does.
func (f *fleet) poll(client *http.Client, d *daemon) {
	resp, err := client.Get("http://" + f.address(d, portAdmin) + "/plantaincleat/readiness")
	if err == nil {
		_ = resp.Body.Close()
	}
	d.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
}

// disrupt puts rules in force and returns what takes them back.
func (f *fleet) disrupt(rules ...relayer.Rule) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := f.next
	f.next++
	f.rules[number] = rules
	f.apply()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.rules, number)
		f.apply()
	}
}

// apply puts the rules of all disruptions in force. f.mu is held.
func (f *fleet) apply() {
	var all []relayer.Rule
	for n := range f.next {
		all = append(all, f.rules[n]...)
	}
	if err := f.relay.SetFaults(all); err != nil {
		slog.Error("rules refused", "err", err.Error())
	}
}

// close ends all processes that it started, and the world.
func (f *fleet) close() {
	for _, d := range f.daemons {
		if p := d.process.Load(); p != nil {
			d.up.Store(false)
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	f.relay.Stop()
	if f.world != nil {
		f.world.Close()
	}
	f.release()
}
