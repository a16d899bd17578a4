// Package relayer forwards TCP connections between processes under test and
// can cut, reset or delay them by the address that they come from.
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

// Link forwards from a listener to an address.
type Link struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	To     string `json:"to"`
}

// Plan holds links and the rules that are in force at the start.
type Plan struct {
	Links []Link `json:"links"`
	Rules []Rule `json:"rules"`
}

// Parse reads a plan in JSON with comments.
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
			return nil, eris.Errorf("field links[%d]: name, listen and to are needed", i)
		}
	}
	return p, nil
}

// Counts are the connections of one link since the start.
type Counts struct {
	Name     string `json:"name"`
	Listen   string `json:"listen"`
	To       string `json:"to"`
	Accepted int64  `json:"accepted"`
	Open     int64  `json:"open"`
	Reset    int64  `json:"reset"`
	// BytesUp and Down are the bytes handed on, by direction.
	BytesUp   int64 `json:"up"`
	BytesDown int64 `json:"down"`
}

// Relayer forwards connections. Use New.
type Relayer struct {
	clock clockwork.Clock
	rules atomic.Pointer[ruleSet]
	links []*link

	mu    sync.Mutex
	conns []*conn
	// faults go before the base rules.
	faults []Rule
	base   []Rule
}

// link is a Link in service.
type link struct {
	Link
	listener net.Listener

	accepted atomic.Int64
	open     atomic.Int64
	reset    atomic.Int64
	up       atomic.Int64
	down     atomic.Int64
}

// New returns a relayer without links. The clock is the real one if nil.
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

// Start opens the links of a plan. If one fails, all are closed.
func (r *Relayer) Start(p *Plan) error {
	if err := r.SetRules(p.Rules); err != nil {
		return err
	}
	for _, l := range p.Links {
		listener, err := net.Listen("tcp", l.Listen)
		if err != nil {
			r.Stop()
			return eris.Wrapf(err, "listen: link %s at %s", l.Name, l.Listen)
		}
		l.Listen = listener.Addr().String()
		started := &link{
			Link:     l,
			listener: listener,
		}
		r.links = append(r.links, started)
		go r.serve(started)
	}
	return nil
}

// Stop closes all links and connections.
func (r *Relayer) Stop() {
	for _, l := range r.links {
		_ = l.listener.Close()
	}
	r.mu.Lock()
	conns := slices.Clone(r.conns)
	r.mu.Unlock()
	for _, c := range conns {
		c.close(false)
	}
}

// Rules returns the rules in force: the faults, then the base rules.
func (r *Relayer) Rules() []Rule {
	return slices.Clone(r.rules.Load().rules)
}

// SetRules replaces the base rules, also for open connections.
func (r *Relayer) SetRules(rules []Rule) error {
	return r.set(&r.base, rules)
}

// SetFaults replaces the rules that go before the base rules.
func (r *Relayer) SetFaults(rules []Rule) error {
	return r.set(&r.faults, rules)
}

func (r *Relayer) set(list *[]Rule, rules []Rule) error {
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
	counts := make([]Counts, 0, len(r.links))
	for _, l := range r.links {
		counts = append(counts, Counts{
			Name:      l.Name,
			Listen:    l.Listen,
			To:        l.To,
			Accepted:  l.accepted.Load(),
			Open:      l.open.Load(),
			Reset:     l.reset.Load(),
			BytesUp:   l.up.Load(),
			BytesDown: l.down.Load(),
		})
	}
	return counts
}

func (r *Relayer) serve(l *link) {
	for {
		down, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.accepted.Add(1)
		l.open.Add(1)
		c := &conn{
			relayer: r,
			link:    l,
			from:    remoteIP(down),
			down:    down,
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

// remoteIP returns the address that a connection comes from.
func remoteIP(c net.Conn) netip.Addr {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return a.AddrPort().Addr().Unmap()
}
