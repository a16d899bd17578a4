package checker

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"

	"plantaincleat/tier/gen/settings"
)

// maxCores is the greatest capacity in cores that settings may state.
const maxCores = 4096

// maxMemory is the greatest memory in MB that settings may state, minMemory the least memory of a
// host, and minDescriptors the least number of its descriptors.
const (
	maxMemory      = 1 << 20
	minMemory      = 64
	minDescriptors = 128
)

// levels contains the names of the log levels. Empty means the default.
var levels = map[string]bool{
	"":      true,
	"debug": true,
	"info":  true,
	"warn":  true,
	"error": true,
}

// Settings validates the settings of a daemon. It returns all problems. readable
// returns the error of opening a file, nil if the file can be read.
func Settings(s *settings.Entryd, readable func(file string) error) []Problem {
	r := &report{}
	r.checkName("id", s.GetId())
	r.checkName("datacentre", s.GetDatacentre())
	r.checkListeners(s)
	r.checkOutgoing(s)
	r.checkSecurity(s.GetSecurity(), readable)
	r.checkDuration("grace", s.GetGrace(), true)
	if level := s.GetLog().GetLevel(); !levels[level] {
		r.add("log.level", "%q is not one of debug, info, warn, error", level)
	}
	r.checkFraction("trace.sample", s.GetTrace().GetSample())
	r.checkDuration("hold", s.GetHold(), true)
	r.checkExtra(s.GetExtra())
	if s.GetCapacity() < 0 || math.IsNaN(s.GetCapacity()) || s.GetCapacity() > maxCores {
		r.add("capacity", "%v is not a number of cores from 0 to %d", s.GetCapacity(), maxCores)
	}
	r.checkHost(s.GetHost())
	r.checkCallers(s.GetCallers())
	return r.problems
}

// checkHost checks what the daemon may use of its host. Zero means the default.
func (r *report) checkHost(h *settings.Host) {
	r.checkMemory("host.memory", h.GetMemory(), minMemory)
	if n := h.GetDescriptors(); n != 0 && n < minDescriptors {
		r.add("host.descriptors", "%d is less than %d", n, minDescriptors)
	}
}

// checkCallers checks the limits of what callers may make the daemon hold.
func (r *report) checkCallers(c *settings.Callers) {
	r.checkMemory("callers.memory", c.GetMemory(), 1)
	r.checkDuration("callers.answer", c.GetAnswer(), true)
}

// checkMemory checks a number of MB that is zero or at least least.
func (r *report) checkMemory(field string, mb, least float64) {
	if mb != 0 && !(mb >= least && mb <= maxMemory) {
		r.add(field, "%v is not a number of MB from %v to %d", mb, least, maxMemory)
	}
}

// checkExtra checks the limit of extra sub-requests.
func (r *report) checkExtra(e *settings.Extra) {
	r.checkFraction("extra.ratio", e.GetRatio())
	if e.GetSlack() < 0 || math.IsNaN(e.GetSlack()) {
		r.add("extra.slack", "%v is less than 0", e.GetSlack())
	}
	r.checkDuration("extra.window", e.GetWindow(), true)
}

// checkListeners checks the addresses on which the daemon listens, and the address
// that it advertises. Listening off loopback needs a certificate.
func (r *report) checkListeners(s *settings.Entryd) {
	needsTLS := s.GetSecurity().GetCertificate() == "" && !s.GetSecurity().GetInsecure()
	l := s.GetListen()
	listeners := []struct {
		field, address string
	}{
		{
			field:   "listen.http",
			address: l.GetHttp(),
		},
		{
			field:   "listen.peer",
			address: l.GetPeer(),
		},
		{
			field:   "listen.admin",
			address: l.GetAdmin(),
		},
	}
	if l.GetMetrics() != "" {
		listeners = append(listeners, struct{ field, address string }{
			field:   "listen.metrics",
			address: l.GetMetrics(),
		})
	}
	taken := map[string]string{}
	for _, listener := range listeners {
		a, ok := r.checkAddress(listener.field, listener.address, true)
		if !ok {
			continue
		}
		if a.Port() != 0 {
			r.checkUnique(taken, listener.field, listener.address)
		}
		if needsTLS && !a.Addr().IsLoopback() {
			r.add(listener.field, "%q is not a loopback address, so security.certificate is required", listener.address)
		}
	}
	if a, err := netip.ParseAddrPort(l.GetAdmin()); err == nil && a.Addr().IsUnspecified() {
		r.add("listen.admin", "%q is not an address that operators can connect to", l.GetAdmin())
	}
	if s.GetAdvertise() != "" {
		r.checkAddress("advertise", s.GetAdvertise(), false)
		return
	}
	if a, err := netip.ParseAddrPort(l.GetPeer()); err == nil && a.Addr().IsUnspecified() {
		r.add("advertise", "is missing, and listen.peer %q is not an address that other daemons can connect to", l.GetPeer())
	}
}

// checkOutgoing checks the addresses from and to which the daemon connects.
// Connections off loopback need a CA.
func (r *report) checkOutgoing(s *settings.Entryd) {
	needsTLS := s.GetSecurity().GetCa() == "" && !s.GetSecurity().GetInsecure()
	if s.GetSource() != "" {
		if _, err := netip.ParseAddr(s.GetSource()); err != nil {
			r.add("source", "%q is not an IP address", s.GetSource())
		}
	}
	if len(s.GetKv()) == 0 {
		r.add("kv", "is missing")
	}
	lists := []struct {
		field     string
		addresses []string
	}{
		{
			field:     "kv",
			addresses: s.GetKv(),
		},
		{
			field:     "seeds",
			addresses: s.GetSeeds(),
		},
	}
	for _, list := range lists {
		for i, address := range list.addresses {
			field := fmt.Sprintf("%s[%d]", list.field, i)
			a, ok := r.checkAddress(field, address, false)
			if ok && needsTLS && !a.Addr().IsLoopback() {
				r.add(field, "%q is not a loopback address, so security.ca is required", address)
			}
		}
	}
	r.checkHostList(s)
}

// checkHostList checks the URL of the host list. Off loopback it must use https.
func (r *report) checkHostList(s *settings.Entryd) {
	if s.GetHosts() == "" {
		return
	}
	u, err := url.Parse(s.GetHosts())
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		r.add("hosts", "%q is not an http or https URL", s.GetHosts())
		return
	}
	a, err := netip.ParseAddr(u.Hostname())
	if err != nil {
		r.add("hosts", "%q has no IP address", s.GetHosts())
		return
	}
	if u.Scheme == "http" && !a.IsLoopback() && !s.GetSecurity().GetInsecure() {
		r.add("hosts", "%q is not a loopback address, so https is required", s.GetHosts())
	}
}

// checkSecurity checks that certificate, key and CA are configured together, and that
// their files can be read.
func (r *report) checkSecurity(s *settings.Security, readable func(string) error) {
	if s.GetCertificate() == "" && s.GetKey() != "" {
		r.add("security.certificate", "is required with security.key")
	}
	if s.GetCertificate() != "" && s.GetKey() == "" {
		r.add("security.key", "is required with security.certificate")
	}
	if s.GetCertificate() == "" && s.GetCa() != "" {
		r.add("security.certificate", "is required with security.ca")
	}
	if s.GetCertificate() != "" && s.GetCa() == "" {
		r.add("security.ca", "is required with security.certificate")
	}
	files := []struct {
		field, file string
	}{
		{
			field: "security.certificate",
			file:  s.GetCertificate(),
		},
		{
			field: "security.key",
			file:  s.GetKey(),
		},
		{
			field: "security.ca",
			file:  s.GetCa(),
		},
	}
	for _, f := range files {
		if f.file == "" {
			continue
		}
		if err := readable(f.file); err != nil {
			r.add(f.field, "%v", err)
		}
	}
}
