package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// readyTimeout bounds the time until a daemon is ready.
const readyTimeout = 15 * time.Second

// daemon is one process of the project's program.
type daemon struct {
	id, zone                  string
	front, peer, admin, meter string
	settings                  string
	log                       *os.File
	cmd                       *exec.Cmd
	done                      chan struct{}
	// advertised and source are the address at which other daemons reach this one, and the one from
	// which it opens connections, if they differ from the usual.
	advertised, source string
	// held holds the ports until the first start.
	held []net.Listener
}

// started holds the processes that were started.
var started struct {
	mu   sync.Mutex
	list []*os.Process
}

func remember(p *os.Process) {
	started.mu.Lock()
	defer started.mu.Unlock()
	started.list = append(started.list, p)
}

// killAll ends all processes that were started and have not been waited for.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.list {
		_ = p.Kill()
	}
}

const (
	// firstPort and ports bound the ports of daemons. They lie below those of outgoing connections.
	firstPort = 20000
	ports     = 10000
	// portTries is the number of ports that are tried.
	portTries = 200
)

// holdAddress returns a loopback address with a free port, which is held until the listener is closed.
func holdAddress() (string, net.Listener, error) {
	var err error
	for range portTries {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.Intn(ports))); err == nil {
			return l.Addr().String(), l, nil
		}
	}
	return "", nil, err
}

// fleet is the daemons of a small deployment.
type fleet struct {
	program, folder string
	store           *store
	seeds           []string
	daemons         []*daemon
	cuts            *cuts
}

// newFleet prepares daemons, one in each of the zones. Their settings are those that the template of
// the deploy file gives for a machine of the small sites.
func newFleet(program, folder string, st *store, zones []string) (*fleet, error) {
	f := &fleet{
		program: program,
		folder:  folder,
		store:   st,
	}
	var seeds []string
	for i, zone := range zones {
		d := &daemon{
			id:   fmt.Sprintf("front-%s-%d", zone, i+1),
			zone: zone,
		}
		for _, a := range []*string{&d.front, &d.peer, &d.admin, &d.meter} {
			address, l, err := holdAddress()
			if err != nil {
				return nil, err
			}
			*a, d.held = address, append(d.held, l)
		}
		f.daemons = append(f.daemons, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.peer)
		}
	}
	f.seeds = seeds
	for _, d := range f.daemons {
		if err := f.settle(d, st.address); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// settle writes the settings of a daemon, which reaches the store at an address.
func (f *fleet) settle(d *daemon, address string) error {
	settings := map[string]any{
		"id": d.id, "datacentre": d.zone,
		"listen":   map[string]any{"http": d.front, "peer": d.peer, "admin": d.admin, "metrics": d.meter},
		"kv":       []string{address},
		"seeds":    f.seeds,
		"capacity": 0.4,
		"host":     map[string]any{"memory": 284, "descriptors": 4100},
		"hold":     "1s", "grace": "6s",
		"security": map[string]any{"insecure": true},
		"extra":    map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"},
		"quota":    map[string]any{"window": quotaWindow.String(), "overage": quotaOverage, "slack": quotaSlack},
	}
	if d.advertised != "" {
		settings["advertise"], settings["source"] = d.advertised, d.source
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	d.settings = filepath.Join(f.folder, d.id+".json")
	return os.WriteFile(d.settings, data, 0o600)
}

// start starts a daemon with the command of the deploy file.
func (f *fleet) start(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(f.folder, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.log = log
	d.cmd = exec.Command(f.program)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINCLEAT_SETTINGS=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	for _, l := range d.held {
		_ = l.Close()
	}
	d.held = nil
	if err := d.cmd.Start(); err != nil {
		return err
	}
	remember(d.cmd.Process)
	d.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(d.cmd, d.done)
	return nil
}

// startAll starts all daemons and waits until they are ready.
func (f *fleet) startAll() error {
	for _, d := range f.daemons {
		if err := f.start(d); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// ready asks a daemon for its readiness.
func (d *daemon) ready() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	resp, err := client.Get("http://" + d.admin + "/plantaincleat/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.ready() {
			return nil
		}
	}
	return errors.New(d.id + " did not become ready")
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// running reports whether the process has not ended.
func (d *daemon) running() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// stopAll ends all processes that were started.
func (f *fleet) stopAll() {
	for _, d := range f.daemons {
		if d.cmd == nil || d.cmd.Process == nil {
			continue
		}
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.done
		_ = d.log.Close()
	}
}
