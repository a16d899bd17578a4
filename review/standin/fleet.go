package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// program is the daemon, as the deploy file starts it.
const program = "target/frontd"

// readyTimeout bounds the time until all daemons are ready.
const readyTimeout = 20 * time.Second

// daemon is one process of the daemon.
type daemon struct {
	id, zone, ip                string
	http, peer, admin, settings string
	cmd                         *exec.Cmd
	exited                      chan struct{}
	// reserved holds the ports of the daemon until it is started.
	reserved []net.Listener
	// out is true while the platform sends no consumers to the daemon.
	out atomic.Bool
}

// fleet is all daemons of a case.
type fleet struct {
	daemons []*daemon
	dir     string
	log     *journal
}

// Ports of daemons are below those that the kernel gives to outgoing connections, so that no
// connection takes the port of a daemon that has not started yet.
const (
	firstPort = 20000
	lastPort  = 31999
)

// reserve returns an address with a free port, and keeps the port until the daemon is started.
func (d *daemon) reserve() string {
	for {
		address := fmt.Sprintf("%s:%d", d.ip, firstPort+rand.IntN(lastPort-firstPort+1))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		d.reserved = append(d.reserved, l)
		return address
	}
}

// startFleet starts perZone daemons in each zone. own is true if each daemon has an address of its own
// and connects from it.
func startFleet(log *journal, dir string, s *store, zones []string, perZone int, own bool) (*fleet, error) {
	f := &fleet{dir: dir, log: log}
	var seeds []string
	for i := range perZone * len(zones) {
		zone := zones[i%len(zones)]
		ip := "127.0.0.1"
		if own {
			ip = fmt.Sprintf("127.0.7.%d", i+1)
		}
		d := &daemon{id: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, ip: ip}
		d.http, d.peer, d.admin = d.reserve(), d.reserve(), d.reserve()
		f.daemons = append(f.daemons, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.peer)
		}
	}
	for _, d := range f.daemons {
		if err := f.start(d, s, seeds, own); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// start writes the settings of a daemon, as deploy/settings.json.tmpl has them, and starts it.
func (f *fleet) start(d *daemon, s *store, seeds []string, own bool) error {
	settings := map[string]any{
		"id": d.id, "datacentre": d.zone,
		"listen":   map[string]string{"http": d.http, "peer": d.peer, "admin": d.admin},
		"kv":       []string{s.address},
		"seeds":    seeds,
		"capacity": 0.4,
		"hold":     "1s",
		"grace":    "6s",
		"security": map[string]bool{"insecure": true},
		"extra":    map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"},
	}
	if own {
		settings["source"] = d.ip
	}
	value, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	d.settings = filepath.Join(f.dir, d.id+".json")
	if err := os.WriteFile(d.settings, value, 0o644); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(f.dir, d.id+".log"))
	if err != nil {
		return err
	}
	d.cmd = exec.Command(program)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "PLANTAINCLEAT_SETTINGS=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	for _, l := range d.reserved {
		_ = l.Close()
	}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func() {
		_ = d.cmd.Wait()
		close(d.exited)
	}()
	f.log.add("daemon %s of zone %s started, consumers at %s", d.id, d.zone, d.http)
	return nil
}

// ready reports whether a daemon is ready.
func (d *daemon) ready() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.admin + "/plantaincleat/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady() error {
	begin := time.Now()
	for _, d := range f.daemons {
		for !d.ready() {
			if time.Since(begin) > readyTimeout {
				return errors.New("daemon " + d.id + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.log.add("all daemons are ready")
	return nil
}

// checkReadiness asks each daemon once a second whether it is ready, as the platform does.
// After two misses a daemon gets no consumers until it is ready again.
func (f *fleet) checkReadiness() {
	for _, d := range f.daemons {
		go func() {
			for misses := 0; ; time.Sleep(time.Second) {
				misses++
				if d.ready() {
					misses = 0
				}
				if out := misses >= 2; d.out.Swap(out) != out {
					f.log.add("%s out of rotation: %v", d.id, out)
				}
			}
		}()
	}
}

// terminate sends SIGTERM to a daemon, and SIGKILL after grace.
func (f *fleet) terminate(d *daemon, grace time.Duration) {
	f.log.add("SIGTERM to %s", d.id)
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-d.exited:
			f.log.add("%s has exited", d.id)
		case <-time.After(grace):
			f.log.add("SIGKILL to %s", d.id)
			_ = d.cmd.Process.Kill()
		}
	}()
}

// stop ends all daemons.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill()
		}
	}
	for _, d := range f.daemons {
		if d.exited != nil {
			<-d.exited
		}
	}
}
