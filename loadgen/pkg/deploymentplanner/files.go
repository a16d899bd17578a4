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
	fileMode = 0o644
	dirMode  = 0o755
)

// File names of a deployment.
const (
	// ConfigFile contains the operators' configuration.
	ConfigFile = "config.json"
	// DirectConfigFile contains the configuration with the targets' own addresses.
	// It is written for the stand-ins if the deployment has a relay, because
	// ConfigFile then contains the addresses of the relay.
	DirectConfigFile = "config-direct.json"
	// RelayPlanFile contains the plan of the relay.
	RelayPlanFile = "relay.json"
	// HostsFile contains the platform's list of hosts.
	HostsFile = "hosts.json"
)

// plannedDaemon is a daemon of a plan.
type plannedDaemon struct {
	port int
	// dc is the number of the data centre, and number that of the daemon in it. Both
	// start at 1.
	dc     int
	number int
}

func (d plannedDaemon) id() string {
	return fmt.Sprintf("entryd-%d-%d", d.dc, d.number)
}

func (d plannedDaemon) address(offset int, relayed bool) string {
	return address(d.dc, d.number, d.port+offset, relayed)
}

// daemons returns the daemons, assigned to the data centres in turn.
func (p *Plan) daemons() []plannedDaemon {
	list := make([]plannedDaemon, 0, p.Daemons)
	for i := range p.Daemons {
		list = append(list, plannedDaemon{
			port:   p.Port,
			dc:     1 + i%p.Profile.DataCentres,
			number: 1 + i/p.Profile.DataCentres,
		})
	}
	return list
}

// Settings returns the settings of each daemon. The seeds are the first daemons of
// the data centres.
func (p *Plan) Settings() []*settings.Entryd {
	daemons := p.daemons()
	var seeds []string
	for _, d := range daemons {
		if d.number == 1 {
			seeds = append(seeds, d.address(peerPortOffset, p.Relay))
		}
	}
	list := make([]*settings.Entryd, 0, len(daemons))
	for _, d := range daemons {
		s := &settings.Entryd{
			Id:         d.id(),
			Datacentre: dataCentreName(d.dc),
			Listen: &settings.Listen{
				Http:  d.address(httpPortOffset, false),
				Peer:  d.address(peerPortOffset, false),
				Admin: d.address(adminPortOffset, false),
			},
			Source: fmt.Sprintf("127.0.%d.%d", d.dc, d.number),
			Kv:     []string{p.kvAddressIn(d.dc)},
			Hosts:  p.HostsURL,
			Seeds:  seeds,
		}
		if p.Relay {
			s.Advertise = d.address(peerPortOffset, true)
		}
		list = append(list, s)
	}
	return list
}

// kvAddressIn returns the address of the key-value service for daemons in a data
// centre.
func (p *Plan) kvAddressIn(dc int) string {
	if p.Relay {
		return address(dc, kvHostNumber, p.Port, true)
	}
	return p.KVAddress
}

// targetGroup is the content of a group file of standin target: a list of targets
// and their common behaviour. Setup and Median are durations such as "2ms".
type targetGroup struct {
	IDs        []string `json:"ids"`
	Queue      int      `json:"queue"`
	Setup      string   `json:"setup"`
	Median     string   `json:"median"`
	Sigma      float64  `json:"sigma"`
	Slow       float64  `json:"slow"`
	SlowFactor float64  `json:"slowfactor"`
}

func (p *Plan) newTargetGroup(s Service) targetGroup {
	g := targetGroup{
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

// hostEntry is an entry of the host list that standin hosts reads.
type hostEntry struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	Role       string `json:"role"`
	State      string `json:"state"`
}

// hosts returns the host list with all daemons and targets.
func (p *Plan) hosts() []hostEntry {
	var list []hostEntry
	for _, d := range p.daemons() {
		list = append(list, hostEntry{
			ID:         d.id(),
			Address:    d.address(peerPortOffset, p.Relay),
			DataCentre: dataCentreName(d.dc),
			Role:       "daemon",
			State:      "live",
		})
	}
	for _, t := range p.targets() {
		list = append(list, hostEntry{
			ID:         t.id,
			Address:    t.address(p.Relay),
			DataCentre: dataCentreName(t.dc),
			Role:       "target",
			State:      "live",
		})
	}
	return list
}

// Write writes the files of the deployment to a directory, which it creates if it
// does not exist. Each file begins with the comment.
func (p *Plan) Write(directory, comment string) error {
	if err := p.Validate(); err != nil {
		return err
	}
	if err := os.MkdirAll(directory, dirMode); err != nil {
		return eris.Wrap(err, "create output directory")
	}
	w := &fileWriter{
		directory: directory,
		comment:   comment,
	}
	w.writeProto(ConfigFile, p.Config(p.Relay))
	for _, s := range p.Settings() {
		w.writeProto(s.GetId()+".json", s)
	}
	for _, s := range p.Profile.Services {
		w.writeJSON(GroupFile(s.Collection), p.newTargetGroup(s))
	}
	w.writeJSON(HostsFile, p.hosts())
	if p.Relay {
		w.writeProto(DirectConfigFile, p.Config(false))
		w.writeJSON(RelayPlanFile, p.newRelayPlan())
	}
	return w.err
}

// GroupFile returns the name of the group file with the targets of a collection.
func GroupFile(collection string) string {
	return "targets-" + collection + ".json"
}

// StandinFiles returns the names of the files that standin target reads: the
// configuration and the group files.
func (p *Plan) StandinFiles() (cfg string, groups []string) {
	cfg = ConfigFile
	if p.Relay {
		cfg = DirectConfigFile
	}
	for _, name := range p.collectionNames() {
		groups = append(groups, GroupFile(name))
	}
	return cfg, groups
}

// fileWriter writes files to a directory. After the first error it writes no more.
type fileWriter struct {
	directory string
	comment   string
	err       error
}

func (w *fileWriter) writeProto(name string, m proto.Message) {
	b, err := protojson.Marshal(m)
	if err != nil {
		w.err = eris.Wrapf(err, "encode file %s", name)
		return
	}
	w.writeJSON(name, json.RawMessage(b))
}

func (w *fileWriter) writeJSON(name string, v any) {
	if w.err != nil {
		return
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "// %s\n", w.comment)
	e := json.NewEncoder(&b)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		w.err = eris.Wrapf(err, "encode file %s", name)
		return
	}
	if err := os.WriteFile(filepath.Join(w.directory, name), b.Bytes(), fileMode); err != nil {
		w.err = eris.Wrap(err, "write deployment file")
	}
}
