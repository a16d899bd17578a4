package deploymentplanner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/settings"
)

const (
	fileMode      = 0o644
	directoryMode = 0o755
)

// Names of the files of a deployment.
const (
	// ConfigFile is the operators' configuration.
	ConfigFile = "config.json"
	// DirectConfigFile is the configuration with the targets' own addresses. It is
	// written for the stand-ins if relays stand before the targets.
	DirectConfigFile = "config-direct.json"
	// RelayPlanFile is the plan of the relay.
	RelayPlanFile = "relay.json"
	// HostsFile is the platform's list of hosts.
	HostsFile = "hosts.json"
)

// daemon is one daemon of a plan.
type daemon struct {
	port int
	// dc and number count from 1.
	dc     int
	number int
}

func (d daemon) id() string {
	return fmt.Sprintf("entryd-%d-%d", d.dc, d.number)
}

func (d daemon) address(offset int, relayed bool) string {
	return address(d.dc, d.number, d.port+offset, relayed)
}

// daemons lists the daemons, dealt to the data centres in turn.
func (p *Plan) daemons() []daemon {
	list := make([]daemon, 0, p.Daemons)
	for i := range p.Daemons {
		list = append(list, daemon{
			port:   p.Port,
			dc:     1 + i%p.Profile.DataCentres,
			number: 1 + i/p.Profile.DataCentres,
		})
	}
	return list
}

// Settings returns the settings of all daemons. The first daemon of each data
// centre is a seed.
func (p *Plan) Settings() []*settings.Entryd {
	daemons := p.daemons()
	var seeds []string
	for _, d := range daemons {
		if d.number == 1 {
			seeds = append(seeds, d.address(peerPort, p.Relay))
		}
	}
	list := make([]*settings.Entryd, 0, len(daemons))
	for _, d := range daemons {
		s := &settings.Entryd{
			Id:         d.id(),
			Datacentre: dataCentre(d.dc),
			Listen: &settings.Listen{
				Http:  d.address(httpPort, false),
				Peer:  d.address(peerPort, false),
				Admin: d.address(adminPort, false),
			},
			Source: fmt.Sprintf("127.0.%d.%d", d.dc, d.number),
			Kv:     []string{p.kv(d.dc)},
			Hosts:  p.HostsURL,
			Seeds:  seeds,
		}
		if p.Relay {
			s.Advertise = d.address(peerPort, true)
		}
		list = append(list, s)
	}
	return list
}

// kv returns the address at which a data centre reaches the key-value service.
func (p *Plan) kv(dc int) string {
	if p.Relay {
		return address(dc, kvHost, p.Port, true)
	}
	return p.KVAddress
}

// group is a file of targets with their behaviour, as standin target reads it.
type group struct {
	IDs        []string `json:"ids"`
	Queue      int      `json:"queue"`
	Setup      string   `json:"setup"`
	Median     string   `json:"median"`
	Sigma      float64  `json:"sigma"`
	Slow       float64  `json:"slow"`
	SlowFactor float64  `json:"slowfactor"`
}

func (p *Plan) group(s Service) group {
	g := group{
		Queue:      p.QueueLimit,
		Setup:      s.SetupTime.String(),
		Median:     p.LatencyModel.Median.String(),
		Sigma:      p.LatencyModel.Sigma,
		Slow:       p.LatencyModel.SlowFraction,
		SlowFactor: p.LatencyModel.SlowFactor,
	}
	for _, t := range p.targets() {
		if t.service.Collection == s.Collection {
			g.IDs = append(g.IDs, t.id)
		}
	}
	return g
}

// host is one entry of the host list, as standin hosts reads it.
type host struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	Role       string `json:"role"`
	State      string `json:"state"`
}

// hosts lists the daemons and the targets.
func (p *Plan) hosts() []host {
	var list []host
	for _, d := range p.daemons() {
		list = append(list, host{
			ID:         d.id(),
			Address:    d.address(peerPort, p.Relay),
			DataCentre: dataCentre(d.dc),
			Role:       "daemon",
			State:      "live",
		})
	}
	for _, t := range p.targets() {
		list = append(list, host{
			ID:         t.id,
			Address:    t.address(p.Relay),
			DataCentre: dataCentre(t.dc),
			Role:       "target",
			State:      "live",
		})
	}
	return list
}

// Write writes the files of the deployment to a directory, which it makes if
// needed. The comment goes to the head of each file.
func (p *Plan) Write(directory, comment string) error {
	if err := p.Validate(); err != nil {
		return err
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return eris.Wrap(err, "make directory")
	}
	w := &writer{
		directory: directory,
		comment:   comment,
	}
	w.message(ConfigFile, p.Config(p.Relay))
	for _, s := range p.Settings() {
		w.message(s.GetId()+".json", s)
	}
	for _, s := range p.Profile.Services {
		w.value(GroupFile(s.Collection), p.group(s))
	}
	w.value(HostsFile, p.hosts())
	if p.Relay {
		w.message(DirectConfigFile, p.Config(false))
		w.value(RelayPlanFile, p.relay())
	}
	return w.err
}

// GroupFile returns the name of the file with the targets of a collection.
func GroupFile(collection string) string {
	return "targets-" + collection + ".json"
}

// StandinFiles returns the names of the files that the target stand-in needs: the
// configuration and the groups.
func (p *Plan) StandinFiles() (cfg string, groups []string) {
	cfg = ConfigFile
	if p.Relay {
		cfg = DirectConfigFile
	}
	for _, name := range p.services() {
		groups = append(groups, GroupFile(name))
	}
	return cfg, groups
}

// writer writes files until the first error.
type writer struct {
	directory string
	comment   string
	err       error
}

func (w *writer) message(name string, m proto.Message) {
	b, err := protojson.Marshal(m)
	if err != nil {
		w.err = eris.Wrapf(err, "encode %s", name)
		return
	}
	w.value(name, json.RawMessage(b))
}

func (w *writer) value(name string, v any) {
	if w.err != nil {
		return
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "// %s\n", w.comment)
	e := json.NewEncoder(&b)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		w.err = eris.Wrapf(err, "encode %s", name)
		return
	}
	if err := os.WriteFile(filepath.Join(w.directory, name), b.Bytes(), fileMode); err != nil {
		w.err = eris.Wrap(err, "write file")
	}
}
