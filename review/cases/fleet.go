package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of frontd.
type daemon struct {
	name, zone                  string
	front, peer, admin, metrics string
	// source is the daemon's own address, and advertised that at which the others reach it, if
	// they are to.
	source, advertised string
	settings, log      string
	bootstrap          bool
	// held keeps the ports until the first start.
	held []net.Listener

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	misses   int
	rotation bool
}

// fleet runs the daemons and asks each once a second whether it is ready, as the platform
// does.
type fleet struct {
	program string
	dir     string
	store   string
	// zones is nil if no zone is cut off.
	zones   *zones
	record  *record
	daemons []*daemon
	// forwarders are the listeners in front of the peer listeners.
	forwarders []net.Listener
	stop       chan struct{}
	wg         sync.WaitGroup
}

// listen returns a listener on a loopback address. Its port is below those that the kernel uses
// for outgoing connections, so that none of them takes it while a process is not there.
func listen() (net.Listener, error) { return listenAt("127.0.0.1") }

func listenAt(ip string) (net.Listener, error) {
	const lowest, count, tries = 12000, 18000, 200
	var err error
	for range tries {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, lowest+rand.IntN(count))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// newFleet prepares daemons. They are spread evenly over the zones, in the order of the names.
func newFleet(program, dir, store string, rec *record, zones []string, perZone int) (*fleet, error) {
	f := &fleet{program: program, dir: dir, store: store, record: rec, stop: make(chan struct{})}
	for _, zone := range zones {
		for i := range perZone {
			d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, bootstrap: true}
			for _, a := range []*string{&d.front, &d.peer, &d.admin, &d.metrics} {
				l, err := listen()
				if err != nil {
					return nil, err
				}
				*a, d.held = l.Addr().String(), append(d.held, l)
			}
			d.settings = filepath.Join(dir, d.name+".json")
			d.log = filepath.Join(dir, d.name+".log")
			f.daemons = append(f.daemons, d)
		}
	}
	return f, nil
}

// separate gives each daemon an address of its own, and a forwarder to its peer listener, so that
// zones can be cut off.
func (f *fleet) separate(z *zones) error {
	f.zones = z
	for i, d := range f.daemons {
		d.source = fmt.Sprintf("127.0.1.%d", i+1)
		z.assign(d.source, d.zone)
		l, err := listenAt(d.source)
		if err != nil {
			return err
		}
		d.advertised = l.Addr().String()
		f.forwarders = append(f.forwarders, l)
		go forward(&zoneListener{Listener: l, zones: z, zone: d.zone}, d.peer)
	}
	return nil
}

// writeSettings writes what deploy/settings.json.tmpl yields for a small deployment.
func (f *fleet) writeSettings(d *daemon) error {
	var seeds []string
	zones := make(map[string]bool)
	for _, other := range f.daemons {
		if !zones[other.zone] && len(seeds) < 3 {
			zones[other.zone] = true
			seeds = append(seeds, cmp.Or(other.advertised, other.peer))
		}
	}
	s := map[string]any{
		"id":         d.name,
		"datacentre": d.zone,
		"listen": map[string]string{
			"http": d.front, "peer": d.peer, "admin": d.admin, "metrics": d.metrics,
		},
		"kv":       []string{f.store},
		"seeds":    seeds,
		"capacity": 0.4,
		"grace":    "6s",
		"security": map[string]bool{"insecure": true},
		"extra":    map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"},
		"quota":    map[string]any{"window": "5s", "overage": 0.1, "slack": 20},
	}
	if d.advertised != "" {
		s["advertise"], s["source"] = d.advertised, d.source
	}
	if d.bootstrap {
		s["hold"] = "1s"
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, data, 0o600)
}

// startAll starts all daemons and the checks of their readiness.
func (f *fleet) startAll() error {
	for _, d := range f.daemons {
		if err := f.startDaemon(d); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		f.wg.Go(func() { f.checkReadiness(d) })
	}
	return nil
}

// startDaemon starts a daemon with the command of deploy/system.toml. The settings are those
// of the first start of the fleet only for the first start of a daemon.
func (f *fleet) startDaemon(d *daemon) error {
	if err := f.writeSettings(d); err != nil {
		return err
	}
	d.bootstrap = false
	for _, l := range d.held {
		_ = l.Close()
	}
	d.held = nil
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(f.program)
	cmd.Env = []string{"PLANTAINCLEAT_SETTINGS=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	cmd.Stdout, cmd.Stderr = log, log
	// The daemons end with this process, whatever ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s)
}

// awaitExit waits until the process has ended.
func (d *daemon) awaitExit(limit time.Duration) bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (d *daemon) inRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rotation
}

// checkReadiness asks a daemon each second. Two misses take it out of rotation until its next
// answer with status 200.
func (f *fleet) checkReadiness(d *daemon) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		ready := false
		if resp, err := client.Get("http://" + d.admin + "/plantaincleat/readiness"); err == nil {
			_ = resp.Body.Close()
			ready = resp.StatusCode == http.StatusOK
		}
		d.mu.Lock()
		before := d.rotation
		switch {
		case ready:
			d.misses, d.rotation = 0, true
		default:
			if d.misses++; d.misses >= 2 {
				d.rotation = false
			}
		}
		after := d.rotation
		d.mu.Unlock()
		if before != after {
			f.record.event("platform: %s in rotation: %v", d.name, after)
		}
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
}

// awaitReady waits until all daemons are in rotation.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range f.daemons {
			if d.inRotation() {
				ready++
			}
		}
		if ready == len(f.daemons) {
			return nil
		}
	}
	return errors.New("daemons are not ready in time")
}

// choose returns the daemon to which the platform forwards a new connection of a consumer: by
// a hash among those of its zone that are in rotation, or all of the zone if fewer than half
// are, or those of other zones if none is.
func (f *fleet) choose(zone string, hash uint64) *daemon {
	var local, localReady, anyReady []*daemon
	for _, d := range f.daemons {
		ready := d.inRotation()
		if d.zone == zone {
			local = append(local, d)
			if ready {
				localReady = append(localReady, d)
			}
		}
		if ready {
			anyReady = append(anyReady, d)
		}
	}
	list := localReady
	switch {
	case len(localReady) == 0 && len(anyReady) > 0:
		list = anyReady
	case 2*len(localReady) < len(local):
		list = local
	}
	return list[hash%uint64(len(list))]
}

// closeAll ends all daemons.
func (f *fleet) closeAll() {
	close(f.stop)
	for _, d := range f.daemons {
		if d.cmd != nil {
			d.signal(syscall.SIGCONT)
			d.signal(syscall.SIGKILL)
			d.awaitExit(5 * time.Second)
		}
	}
	f.wg.Wait()
	for _, l := range f.forwarders {
		_ = l.Close()
	}
}

// metricsJSON reads a JSON page of a daemon's metrics listener.
func (d *daemon) metricsJSON(path string, out any) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.metrics + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}
