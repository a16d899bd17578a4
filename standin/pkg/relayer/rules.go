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
	// Pass forwards, after the rule's delay.
	Pass Action = "pass"
	// Cut holds everything back without closing. Bytes held back are
	// forwarded after the cut, as TCP does by retransmission.
	Cut Action = "cut"
	// Reset closes connections with a TCP reset.
	Reset Action = "reset"
)

// Direction is one way through a link.
type Direction string

const (
	// Both is the zero value.
	Both Direction = ""
	// Up leads from the side that dialled to the side that was dialled.
	Up Direction = "up"
	// Down leads back.
	Down Direction = "down"
)

// Rule applies an action to the connections of a link from an IP prefix. The
// first rule that matches counts; without any, connections pass.
type Rule struct {
	// Link is a pattern for names of links, as of path.Match. Empty means
	// every link.
	Link string `json:"link"`
	// From is the prefix of the dialling side's IP address. The zero value
	// means every address.
	From netip.Prefix `json:"from"`
	// Direction restricts Cut and the delay to one way.
	Direction Direction `json:"direction"`
	Action    Action    `json:"action"`
	// DelayMicros is added one way, in microseconds.
	DelayMicros int64 `json:"delay"`
}

// Validate returns an error that names the first field at fault.
func (r Rule) Validate() error {
	switch r.Action {
	case Pass, Cut, Reset:
	default:
		return eris.Errorf("field action: %q is none of pass, cut, reset", r.Action)
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

// flow is one direction of one connection.
type flow struct {
	link      string
	from      netip.Addr
	direction Direction
}

func (r *Rule) matches(f flow) bool {
	if r.Link != "" {
		// Validate has refused malformed patterns.
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
	// replaced is closed when another set is in force.
	replaced chan struct{}
}

func newRuleSet(rules []Rule) *ruleSet {
	return &ruleSet{
		rules:    rules,
		replaced: make(chan struct{}),
	}
}

// match returns the action and the delay for a flow.
func (s *ruleSet) match(f flow) (Action, time.Duration) {
	for i := range s.rules {
		if r := &s.rules[i]; r.matches(f) {
			return r.Action, time.Duration(r.DelayMicros) * time.Microsecond
		}
	}
	return Pass, 0
}
