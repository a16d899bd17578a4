package crowder

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/standin/pkg/platformsimulator"
)

const fileMode = 0o644

// Offsets of a daemon's ports from the first port of the deployment.
const (
	portHTTP = iota
	portPeer
	portAdmin
	portMetrics
)

// Daemon is a daemon of a Fleet.
type Daemon struct {
	*Watch
	settings string
	ip       string
	basePort int
}

// Fleet holds daemons and the simulated platform behind them.
type Fleet struct {
	Platform     *platformsimulator.Platform
	Daemons      []*Daemon
	releasePorts func()
}

// Options describe a Fleet.
type Options struct {
	// Program is the path of the daemon, and Directory where it finds its settings and writes its log.
	Program, Directory string
	// Host is the setting of the daemons' hosts, after a comma, or empty.
	Host            string
	Daemons, Shards int
	// Records is the number of records in the answers of targets, or zero for the usual one.
	Records int
}

// StartFleet starts a simulated platform and daemons.
func StartFleet(o Options) (*Fleet, error) {
	base, lock, err := deployer.ReservePorts()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		releasePorts: func() { _ = lock.Close() },
	}
	f.Platform, err = platformsimulator.NewPlatform(platformsimulator.Options{
		Shards:      o.Shards,
		Replicas:    2,
		DataCentres: []string{"dc-1"},
		Records:     o.Records,
	})
	if err != nil {
		f.Close()
		return nil, err
	}
	var seeds []string
	for i := range o.Daemons {
		f.Daemons = append(f.Daemons, &Daemon{
			settings: filepath.Join(o.Directory, fmt.Sprintf("front-%d.json", i)),
			ip:       fmt.Sprintf("127.0.1.%d", 1+i),
			basePort: base,
		})
		seeds = append(seeds, strconv.Quote(f.Daemons[i].Address(portPeer)))
	}
	for i, d := range f.Daemons {
		if err := d.start(o.Program, i, f.Platform.StoreAddress(), strings.Join(seeds, ", "), o.Host); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Close kills all daemons and closes the platform.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		if d.Watch != nil {
			d.Close()
			d.process.Kill()
		}
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
	f.releasePorts()
}

// start writes the settings of the daemon and starts its process.
func (d *Daemon) start(program string, i int, store, seeds, host string) error {
	text := fmt.Sprintf(`{
  "id": "front-%d",
  "datacentre": "dc-1",
  "listen": {"http": %q, "peer": %q, "admin": %q, "metrics": %q},
  "source": %q,
  "kv": [%q],
  "seeds": [%s],
  "grace": "4s",
  "security": {"insecure": true},
  "extra": {"ratio": 0.2, "slack": 50, "window": "10s"}%s
}
`, i, d.Address(portHTTP), d.Address(portPeer), d.Address(portAdmin), d.Address(portMetrics), d.ip, store, seeds, host)
	if err := os.WriteFile(d.settings, []byte(text), fileMode); err != nil {
		return eris.Wrap(err, "write settings")
	}
	p, err := deployer.Start(fmt.Sprintf("front-%d", i), strings.TrimSuffix(d.settings, "json")+"log", program, "--settings", d.settings)
	if err != nil {
		return err
	}
	d.Watch = NewWatch(p)
	return nil
}

// Address returns the address of one of the daemon's listeners, given the offset of its port.
func (d *Daemon) Address(port int) string {
	return net.JoinHostPort(d.ip, strconv.Itoa(d.basePort+port))
}

// Ready reports whether the daemon is ready for callers.
func (d *Daemon) Ready() bool {
	resp, err := http.Get("http://" + d.Address(portAdmin) + "/plantaincleat/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
