// Package relayer forwards TCP connections between processes under test. Rules cut, reset
// or delay them by link and by the client's address.
package relayer

import (
	"bytes"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Link forwards the connections of a listener to an address.
type Link struct {
	Name string `json:"name"`
	// Listen is the address to listen on.
	Listen string `json:"listen"`
	// To is the address of the server.
	To string `json:"to"`
}

// Plan holds the links of a relay and its initial base rules.
type Plan struct {
	Links []Link `json:"links"`
	Rules []Rule `json:"rules"`
}

// Parse parses a plan in JSON with comments. Unknown fields are errors.
func Parse(b []byte) (*Plan, error) {
	standard, err := hujson.Standardize(b)
	if err != nil {
		return nil, eris.Wrap(err, "parse plan")
	}
	p := &Plan{}
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		return nil, eris.Wrap(err, "parse plan")
	}
	for i, l := range p.Links {
		if l.Name == "" || l.Listen == "" || l.To == "" {
			return nil, eris.Errorf("field links[%d]: name, listen and to are required", i)
		}
	}
	return p, nil
}

// Counts are counts of the connections of one link since the start.
type Counts struct {
	Name     string `json:"name"`
	Listen   string `json:"listen"`
	To       string `json:"to"`
	Accepted int64  `json:"accepted"`
	Open     int64  `json:"open"`
	Reset    int64  `json:"reset"`
	// BytesUp and BytesDown are the bytes forwarded in each direction.
	BytesUp   int64 `json:"up"`
	BytesDown int64 `json:"down"`
}

// Relayer forwards the connections of several links. Create it with New.
type Relayer struct {
	clock clockwork.Clock
	rules atomic.Pointer[ruleSet]

	mu    sync.Mutex
	links []*link
	conns []*conn
	// faults take precedence over base.
	faults []Rule
	base   []Rule
}

// link is a started Link with its counters.
type link struct {
	Link
	listener net.Listener

	accepted  atomic.Int64
	open      atomic.Int64
	resets    atomic.Int64
	bytesUp   atomic.Int64
	bytesDown atomic.Int64
}

// New returns a relayer without links. If clock is nil, it uses the real clock.
func New(clock clockwork.Clock) *Relayer {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	r := &Relayer{
		clock: clock,
	}
	r.rules.Store(newRuleSet(nil))
	return r
}

// Start sets the base rules and opens the links of a plan. If one cannot be opened, it
// closes all of them and returns the error.
func (r *Relayer) Start(p *Plan) error {
	if err := r.SetRules(p.Rules); err != nil {
		return err
	}
	for _, l := range p.Links {
		listener, err := net.Listen("tcp", l.Listen)
		if err != nil {
			r.Stop()
			return eris.Wrapf(err, "open listener of link %s at %s", l.Name, l.Listen)
		}
		l.Listen = listener.Addr().String()
		started := &link{
			Link:     l,
			listener: listener,
		}
		r.mu.Lock()
		r.links = append(r.links, started)
		r.mu.Unlock()
		go r.serve(started)
	}
	return nil
}

// Stop closes all links and connections.
func (r *Relayer) Stop() {
	r.closeLinks(func(*link) bool { return true })
}

// StopLink closes a link and its connections. Its address refuses connections from then
// on, like that of a process that has ended.
func (r *Relayer) StopLink(name string) {
	r.closeLinks(func(l *link) bool { return l.Name == name })
}

// closeLinks closes the selected links and their connections.
func (r *Relayer) closeLinks(selected func(*link) bool) {
	r.mu.Lock()
	links, conns := slices.Clone(r.links), slices.Clone(r.conns)
	r.mu.Unlock()
	for _, l := range links {
		if selected(l) {
			_ = l.listener.Close()
		}
	}
	for _, c := range conns {
		if selected(c.link) {
			c.close(false)
		}
	}
}

// Rules returns the rules in force: the fault rules, then the base rules.
func (r *Relayer) Rules() []Rule {
	return slices.Clone(r.rules.Load().rules)
}

// SetRules replaces the base rules. They also apply to open connections.
func (r *Relayer) SetRules(rules []Rule) error {
	return r.replaceRules(&r.base, rules)
}

// SetFaults replaces the fault rules, which take precedence over the base rules. They also
// apply to open connections.
func (r *Relayer) SetFaults(rules []Rule) error {
	return r.replaceRules(&r.faults, rules)
}

// replaceRules sets *list, which is r.base or r.faults, and closes the open connections that
// the new rules reset.
func (r *Relayer) replaceRules(list *[]Rule, rules []Rule) error {
	for i, rule := range rules {
		if err := rule.Validate(); err != nil {
			return eris.Wrapf(err, "field rules[%d]", i)
		}
	}
	r.mu.Lock()
	*list = slices.Clone(rules)
	next := newRuleSet(slices.Concat(r.faults, r.base))
	replaced := r.rules.Swap(next).replaced
	conns := slices.Clone(r.conns)
	r.mu.Unlock()
	close(replaced)
	for _, c := range conns {
		if action, _ := next.match(c.flow(Both)); action == Reset {
			c.close(true)
		}
	}
	return nil
}

// Counts returns the counts of every link.
func (r *Relayer) Counts() []Counts {
	r.mu.Lock()
	links := slices.Clone(r.links)
	r.mu.Unlock()
	counts := make([]Counts, 0, len(links))
	for _, l := range links {
		counts = append(counts, Counts{
			Name:      l.Name,
			Listen:    l.Listen,
			To:        l.To,
			Accepted:  l.accepted.Load(),
			Open:      l.open.Load(),
			Reset:     l.resets.Load(),
			BytesUp:   l.bytesUp.Load(),
			BytesDown: l.bytesDown.Load(),
		})
	}
	return counts
}

func (r *Relayer) serve(l *link) {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.accepted.Add(1)
		l.open.Add(1)
		c := &conn{
			relayer: r,
			link:    l,
			from:    remoteIP(client),
			client:  client,
			done:    make(chan struct{}),
		}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.run()
	}
}

func (r *Relayer) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = slices.DeleteFunc(r.conns, func(o *conn) bool { return o == c })
}

// remoteIP returns the IP address of the remote end of a connection.
func remoteIP(c net.Conn) netip.Addr {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return a.AddrPort().Addr().Unmap()
}
