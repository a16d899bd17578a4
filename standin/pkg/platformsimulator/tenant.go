package platformsimulator

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"plantaincleat/standin/pkg/httpresponder"
)

// Tenant is an institution of the operators' configuration.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api-keys"`
	Priority *int     `json:"priority,omitempty"`
	// RatePerSecond and Burst limit the requests. 0 means no limit.
	RatePerSecond float64 `json:"rate-per-s,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// keyQuery is the parameter in the query of a request that repeats its key, so that a check
// of what targets have received knows the key. The header with the key must not reach them.
const keyQuery = "?sent-key="

// KeyQuery returns the query of a request with a key.
func KeyQuery(key string) string { return keyQuery + key }

// keyring remembers all keys that the configuration has ever contained. The zero value is
// ready for use.
type keyring struct {
	mu sync.Mutex
	// tenants holds the name of each key, and removed when a later configuration did not
	// contain it any more.
	tenants map[string]string
	removed map[string]time.Time
}

// record records the keys of a configuration.
func (k *keyring) record(tenants []Tenant, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tenants == nil {
		k.tenants, k.removed = make(map[string]string), make(map[string]time.Time)
	}
	present := make(map[string]bool)
	for _, t := range tenants {
		for _, key := range t.Keys {
			present[key] = true
			k.tenants[key] = t.Name
			delete(k.removed, key)
		}
	}
	for key := range k.tenants {
		if _, known := k.removed[key]; !known && !present[key] {
			k.removed[key] = now
		}
	}
}

// KeyRemoved returns when the operator took a key away. ok is false if it is in force or has
// never been.
func (p *Platform) KeyRemoved(key string) (at time.Time, ok bool) {
	p.keys.mu.Lock()
	defer p.keys.mu.Unlock()
	at, ok = p.keys.removed[key]
	return at, ok
}

// SentKey returns the key that a path repeats, or an empty string.
func SentKey(path string) string {
	_, key, _ := strings.Cut(path, keyQuery)
	return key
}

// CheckIdentity checks one request that a target has received: it must name the institution
// of its key and not contain the key in a header.
func (p *Platform) CheckIdentity(a httpresponder.Arrival) error {
	key := SentKey(a.Path)
	p.keys.mu.Lock()
	want, known := p.keys.tenants[key]
	p.keys.mu.Unlock()
	switch {
	case a.KeyPassed:
		return fmt.Errorf("request %s reached a target with a key in a header", a.Request)
	case key != "" && !known:
		return fmt.Errorf("request %s reached a target with key %q, which was never in force", a.Request, key)
	case a.Institution != want:
		return fmt.Errorf("request %s reached a target with the institution %q, want %q", a.Request, a.Institution, want)
	}
	return nil
}
