// Package checker validates the content of a well-formed configuration or
// settings file. It reports all problems at once.
package checker

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"google.golang.org/protobuf/types/known/durationpb"
)

// maxNameBytes is the greatest length of a name or id.
const maxNameBytes = 128

// Problem is one reason why a configuration or settings are invalid.
type Problem struct {
	// Field is the path of the invalid field, such as
	// collections[0].versions[1].snapshots[0].id. It is empty if the problem
	// concerns the whole.
	Field  string
	Reason string
}

// String returns "field: reason", or the reason alone if Field is empty.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Reason
	}
	return p.Field + ": " + p.Reason
}

// report collects the problems that the checks find.
type report struct {
	problems []Problem
}

func (r *report) add(field, format string, args ...any) {
	r.problems = append(r.problems, Problem{
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	})
}

// checkName checks a name or id. Names occur in URLs, store keys and HTTP headers, so
// they contain no slashes, spaces or control characters.
func (r *report) checkName(field, name string) {
	switch {
	case name == "":
		r.add(field, "is missing")
	case len(name) > maxNameBytes:
		r.add(field, "is longer than %d bytes", maxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, isForbidden):
		r.add(field, "%q contains a space, a slash or a control character", name)
	}
}

func isForbidden(c rune) bool {
	return c == '/' || unicode.IsSpace(c) || !unicode.IsPrint(c)
}

// checkUnique reports a value that another field in the same scope has. seen maps the
// values in the scope to their fields. Empty values are ignored.
func (r *report) checkUnique(seen map[string]string, field, value string) {
	if value == "" {
		return
	}
	if first, found := seen[value]; found {
		r.add(field, "%q is already used by %s", value, first)
		return
	}
	seen[value] = field
}

// checkAddress checks an IP address with a port and returns it. Port 0 is refused
// unless allowPortZero is true. The boolean result is false if the address is
// invalid.
func (r *report) checkAddress(field, address string, allowPortZero bool) (netip.AddrPort, bool) {
	if address == "" {
		r.add(field, "is missing")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		r.add(field, "%q is not an IP address with a port", address)
		return netip.AddrPort{}, false
	}
	if a.Port() == 0 && !allowPortZero {
		r.add(field, "%q has port 0", address)
		return netip.AddrPort{}, false
	}
	return a, true
}

// checkFraction checks that a number lies in [0,1].
func (r *report) checkFraction(field string, f float64) {
	if math.IsNaN(f) || f < 0 || f > 1 {
		r.add(field, "%v is not between 0 and 1", f)
	}
}

// checkDuration checks that a duration is positive and returns it. It may be absent
// if optional is true. An absent or invalid duration returns zero.
func (r *report) checkDuration(field string, d *durationpb.Duration, optional bool) time.Duration {
	if d == nil {
		if !optional {
			r.add(field, "is missing")
		}
		return 0
	}
	if !d.IsValid() || d.AsDuration() <= 0 {
		r.add(field, "%s is not a positive duration", d.AsDuration())
		return 0
	}
	return d.AsDuration()
}
