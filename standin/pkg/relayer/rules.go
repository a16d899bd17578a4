package relayer

import (
	"net/netip"
	"path"
	"time"

	"github.com/rotisserie/eris"
)

// Action is what a rule does to the connections that it matches.
type Action string

const (
	// Pass forwards bytes after the rule's delay.
	Pass Action = "pass"
	// Cut withholds bytes without closing the connection. The bytes are forwarded
	// when the rule is removed, as TCP retransmits after a partition.
	Cut Action = "cut"
	// Reset closes connections with a TCP reset.
	Reset Action = "reset"
	// Refuse closes new connections with a TCP reset. Open ones pass.
	Refuse Action = "refuse"
)

// Direction is the direction of bytes on a connection.
type Direction string

const (
	// Both means both directions. It is the zero value.
	Both Direction = ""
	// Up is the direction from the client, which dials the link, to the server.
	Up Direction = "up"
	// Down is the direction from the server to the client.
	Down Direction = "down"
)

// Rule applies an action to connections, selected by link and client address. The first
// matching rule applies. Connections that no rule matches pass without delay.
type Rule struct {
	// Link is a pattern for the names of links, with the syntax of path.Match. An
	// empty pattern matches every link.
	Link string `json:"link"`
	// From is a prefix of the client's IP address. The zero value matches every
	// address.
	From netip.Prefix `json:"from"`
	// Direction restricts Cut and the delay to one direction. A Reset applies to the
	// whole connection.
	Direction Direction `json:"direction"`
	Action    Action    `json:"action"`
	// DelayMicros is the added one-way delay in microseconds.
	DelayMicros int64 `json:"delay"`
}

// Validate returns an error that names the first invalid field.
func (r Rule) Validate() error {
	switch r.Action {
	case Pass, Cut, Reset, Refuse:
	default:
		return eris.Errorf("field action: %q is none of pass, cut, reset, refuse", r.Action)
	}
	if _, err := path.Match(r.Link, ""); err != nil {
		return eris.Wrapf(err, "field link: %q", r.Link)
	}
	switch r.Direction {
	case Both, Up, Down:
	default:
		return eris.Errorf("field direction: %q is none of up, down and empty", r.Direction)
	}
	if r.DelayMicros < 0 {
		return eris.Errorf("field delay: %d is negative", r.DelayMicros)
	}
	return nil
}

// flow identifies one direction of a connection for the matching of rules.
type flow struct {
	link      string
	from      netip.Addr
	direction Direction
}

func (r *Rule) matches(f flow) bool {
	if r.Link != "" {
		// The pattern is well-formed, because Validate refuses others.
		if ok, _ := path.Match(r.Link, f.link); !ok {
			return false
		}
	}
	if r.From.IsValid() && !r.From.Contains(f.from) {
		return false
	}
	return r.Direction == Both || f.direction == Both || r.Direction == f.direction
}

// ruleSet is an immutable list of rules.
type ruleSet struct {
	rules []Rule
	// replaced is closed when another set replaces this one.
	replaced chan struct{}
}

func newRuleSet(rules []Rule) *ruleSet {
	return &ruleSet{
		rules:    rules,
		replaced: make(chan struct{}),
	}
}

// match returns the action and the delay of the first rule that matches a flow, Pass and
// zero if none does.
func (s *ruleSet) match(f flow) (Action, time.Duration) {
	for i := range s.rules {
		if r := &s.rules[i]; r.matches(f) {
			return r.Action, time.Duration(r.DelayMicros) * time.Microsecond
		}
	}
	return Pass, 0
}
