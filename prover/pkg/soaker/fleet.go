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
	// shards is the number of shards of the first set, and newShards that of
	// the set that the disruption "reshard" replaces it with. The names of
	// their services begin with the prefixes.
	shards      = 12
	newShards   = 8
	firstPrefix = "shard-"
	newPrefix   = "part-"
	// replicas is the number of targets of each shard. They are in different
	// data centres.
	replicas = 2
	// grace is the time that daemons are given to stop, and graceSlack the time
	// that they may need in addition on a busy host.
	grace      = 6 * time.Second
	graceSlack = 500 * time.Millisecond
	fileMode   = 0o644
	// extraRatio and extraSlack bound the extra requests to each shard: a
	// fraction of all requests plus a constant.
	extraRatio = 0.2
	extraSlack = 50.0
	// quotaWindow, quotaOverage and quotaSlack are what the limits of institutions tolerate.
	quotaWindow  = 3 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
)

// Offsets of a daemon's ports, on its own loopback address, from the first port
// of the block.
const (
	portHTTP = iota
	portPeer
	portAdmin
	portMetrics
)

var dataCentres = []string{"dc-1", "dc-2", "dc-3"}

// fleet holds the daemons, the simulated platform behind them, and the relay
// whose links connect them.
type fleet struct {
	program string
	// earlier is the program of the first process of each daemon, if it is set.
	earlier      string
	directory    string
	platform     *platformsimulator.Platform
	relay        *relayer.Relayer
	daemons      []*daemon
	basePort     int
	releasePorts func()

	// mu guards rules and nextRules. rules holds the relay rules in force by
	// the number that addRules gave them.
	mu        sync.Mutex
	rules     map[int][]relayer.Rule
	nextRules int

	// linkMu is held while a link is opened.
	linkMu sync.Mutex
	// acceptsForEnded is true if the links of targets that have crashed go on to accept
	// connections, which are then closed, as an intermediary does.
	acceptsForEnded atomic.Bool
}

// daemon is one daemon with its current process.
type daemon struct {
	number int
	ip     string
	// callerAddress is the address of the link by which callers reach the
	// daemon.
	callerAddress string
	// processMu is held while a disruption signals or restarts the process.
	processMu sync.Mutex
	// shouldRun is true while a process runs that no disruption has told to
	// end.
	shouldRun atomic.Bool
	// incarnation counts the starts of the process.
	incarnation atomic.Int64
	process     atomic.Pointer[deployer.Process]
	ready       atomic.Bool
}

// newFleet starts a simulated platform with the given number of replicas of
// each shard, the links and n daemons.
func newFleet(program, earlier, directory string, n, replicas int) (*fleet, error) {
	f := &fleet{
		program:   program,
		earlier:   earlier,
		directory: directory,
		relay:     relayer.New(nil),
		rules:     make(map[int][]relayer.Rule),
	}
	base, lock, err := deployer.ReservePorts()
	if err != nil {
		return nil, err
	}
	f.basePort = base
	f.releasePorts = func() { _ = lock.Close() }
	f.platform, err = platformsimulator.NewPlatform(platformsimulator.Options{
		Shards:      shards,
		Replicas:    replicas,
		DataCentres: dataCentres,
		RegisteredAddress: func(id, address string) string {
			return f.openLink(targetLink(id), address)
		},
		CrashOn:    func(r *http.Request) bool { return strings.Contains(r.URL.Path, crashMark) },
		CrashDelay: crashDelay,
		Crashed: func(id string) {
			if !f.acceptsForEnded.Load() {
				f.relay.StopLink(targetLink(id))
			}
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
			ip:     fmt.Sprintf("127.0.%d.%d", 1+i%len(dataCentres), 1+i),
		}
		seeds = append(seeds, fmt.Sprintf("%q", f.openLink(peerLink(i), f.daemonAddress(d, portPeer))))
		d.callerAddress = f.openLink(callerLink(i), f.daemonAddress(d, portHTTP))
		f.daemons = append(f.daemons, d)
	}
	for i, d := range f.daemons {
		store := f.openLink(storeLink(i), f.platform.StoreAddress())
		if err := f.writeSettings(d, store, seeds); err != nil {
			f.close()
			return nil, err
		}
		if err := f.startDaemon(d); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func targetLink(id string) string { return "target-" + id }

func peerLink(i int) string   { return fmt.Sprintf("peer-%d", i) }
func callerLink(i int) string { return fmt.Sprintf("caller-%d", i) }
func storeLink(i int) string  { return fmt.Sprintf("store-%d", i) }

// dataCentrePrefix returns the prefix of the addresses of a data centre's
// daemons.
func dataCentrePrefix(dc int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 0, byte(1 + dc), 0}), 24)
}

// daemonPrefix returns the prefix that holds only the address of a daemon.
func daemonPrefix(d *daemon) netip.Prefix {
	return netip.PrefixFrom(netip.MustParseAddr(d.ip), netip.IPv4Unspecified().BitLen())
}

// numbers returns the numbers of all daemons.
func (f *fleet) numbers() []int {
	var out []int
	for _, d := range f.daemons {
		out = append(out, d.number)
	}
	return out
}

// openLink opens a link of the relay and returns its address, or "" after
// logging the error.
func (f *fleet) openLink(name, to string) string {
	f.linkMu.Lock()
	defer f.linkMu.Unlock()
	err := f.relay.Start(&relayer.Plan{
		Links: []relayer.Link{{
			Name:   name,
			Listen: "127.0.0.1:0",
			To:     to,
		}},
	})
	if err != nil {
		slog.Error("could not open a link of the relay", "name", name, "err", err.Error())
		return ""
	}
	counts := f.relay.Counts()
	return counts[len(counts)-1].Listen
}

func (f *fleet) daemonAddress(d *daemon, port int) string {
	return fmt.Sprintf("%s:%d", d.ip, f.basePort+port)
}

func (f *fleet) settingsFile(d *daemon) string {
	return filepath.Join(f.directory, fmt.Sprintf("front-%d.json", d.number))
}

func (f *fleet) writeSettings(d *daemon, store string, seeds []string) error {
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
  "extra": {"ratio": %g, "slack": %g, "window": "10s"}%s
}
`, d.number, dataCentres[d.number%len(dataCentres)],
		f.daemonAddress(d, portHTTP), f.daemonAddress(d, portPeer), f.daemonAddress(d, portAdmin), f.daemonAddress(d, portMetrics),
		seeds[d.number], d.ip, store, strings.Join(seeds, ", "), int(grace.Seconds()), extraRatio, extraSlack, f.quotaSetting())
	return eris.Wrap(os.WriteFile(f.settingsFile(d), []byte(text), fileMode), "write settings")
}

// quotaSetting returns the setting of the tolerance of limits of institutions, after a comma. An
// earlier build knows none and refuses it.
func (f *fleet) quotaSetting() string {
	if f.earlier != "" {
		return ""
	}
	return fmt.Sprintf(",\n  \"quota\": {\"window\": %q, \"overage\": %g, \"slack\": %g}", quotaWindow, quotaOverage, quotaSlack)
}

// startDaemon starts a process of the daemon.
func (f *fleet) startDaemon(d *daemon) error {
	program := f.program
	if f.earlier != "" && d.incarnation.Load() == 0 {
		program = f.earlier
	}
	log := filepath.Join(f.directory, fmt.Sprintf("front-%d.log", d.number))
	p, err := deployer.Start(fmt.Sprintf("front-%d", d.number), log, program, "--settings", f.settingsFile(d))
	if err != nil {
		return err
	}
	d.process.Store(p)
	d.incarnation.Add(1)
	d.shouldRun.Store(true)
	return nil
}

// pollReadiness updates whether a daemon is ready, as a balancer does.
func (f *fleet) pollReadiness(client *http.Client, d *daemon) {
	resp, err := client.Get("http://" + f.daemonAddress(d, portAdmin) + "/plantaincleat/readiness")
	if err == nil {
		_ = resp.Body.Close()
	}
	d.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
}

// addRules puts relay rules in force and returns a function that removes them.
func (f *fleet) addRules(rules ...relayer.Rule) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := f.nextRules
	f.nextRules++
	f.rules[number] = rules
	f.applyRules()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.rules, number)
		f.applyRules()
	}
}

// applyRules passes the rules of all disruptions to the relay. f.mu must be
// held.
func (f *fleet) applyRules() {
	var all []relayer.Rule
	for n := range f.nextRules {
		all = append(all, f.rules[n]...)
	}
	if err := f.relay.SetFaults(all); err != nil {
		slog.Error("relay refused the rules of the disruptions", "err", err.Error())
	}
}

// close kills all daemons and closes the relay and the platform.
func (f *fleet) close() {
	for _, d := range f.daemons {
		if p := d.process.Load(); p != nil {
			d.shouldRun.Store(false)
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	f.relay.Stop()
	if f.platform != nil {
		f.platform.Close()
	}
	f.releasePorts()
}
