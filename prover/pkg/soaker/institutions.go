package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"plantaincleat/standin/pkg/platformsimulator"
)

// Routes that need a key. The routes of the other callers need none.
const (
	routeKeyedAll   = "/keyed-all/"
	routeKeyedOne   = "/keyed-one/"
	routeKeyedWrite = "/keyed-write/"
)

const (
	// meanKeyedGap is the mean pause between two requests with keys, of all daemons.
	meanKeyedGap = 25 * time.Millisecond
	// strangeFraction is the fraction of them whose key is removed or has never been valid.
	strangeFraction = 0.3
)

// keyedRoutes maps the routes that need a key to those that they are copies of.
var keyedRoutes = map[string]string{
	routeKeyedAll:   routeAll,
	routeKeyedOne:   routeOne,
	routeKeyedWrite: routeWrite,
}

// issuedKey is a key that the operators have issued.
type issuedKey struct {
	key   string
	added time.Time
}

// keys are the keys of the institutions of a run. It is safe for concurrent use.
type keys struct {
	mu sync.Mutex
	// present holds the keys of each institution, the oldest first.
	present [2][]issuedKey
	removed []string
	issued  int
	calls   []*keyedCall
}

// keyedCall is a request with a key.
type keyedCall struct {
	id     string
	key    issuedKey
	daemon int
	sent   time.Time
	status int
}

// issue gives an institution a new key.
func (k *keys) issue(institution int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.issued++
	k.present[institution] = append(k.present[institution], issuedKey{
		key:   fmt.Sprintf("soak-key-%08d", k.issued),
		added: time.Now(),
	})
}

// withdraw takes an institution's oldest key away, unless it is the only one.
func (k *keys) withdraw(institution int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if own := k.present[institution]; len(own) > 1 {
		k.removed = append(k.removed, own[0].key)
		k.present[institution] = own[1:]
	}
}

// tenants returns the institutions as the operators configure them.
func (k *keys) tenants() []platformsimulator.Tenant {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []platformsimulator.Tenant
	for i, own := range k.present {
		t := platformsimulator.Tenant{
			Name: fmt.Sprintf("institution-%d", i),
		}
		for _, key := range own {
			t.Keys = append(t.Keys, key.key)
		}
		out = append(out, t)
	}
	return out
}

// pick returns a key for the next request: the newest that must be in force, a removed one
// or one that was never valid.
func (k *keys) pick(r *rand.Rand) issuedKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	strange := r.Float64() < strangeFraction
	switch {
	case strange && len(k.removed) > 0 && r.IntN(4) > 0:
		return issuedKey{key: k.removed[r.IntN(len(k.removed))]}
	case strange:
		return issuedKey{key: "soak-key-of-nobody"}
	}
	own := k.present[r.IntN(len(k.present))]
	out := own[0]
	for _, key := range own {
		if time.Since(key.added) > inForceLimit {
			out = key
		}
	}
	return out
}

// addInstitutions accepts a configuration with institutions, and with routes that need their
// keys beside those that need none.
func (s *Soak) addInstitutions() {
	for i := range s.keys.present {
		s.keys.issue(i)
	}
	s.updateConfig(func(d *platformsimulator.Config) {
		d.Tenants = s.keys.tenants()
		for i := range d.Routes {
			d.Routes[i].AuthExempt = true
			for prefix, copied := range keyedRoutes {
				if d.Routes[i].Prefix == copied {
					r := d.Routes[i]
					r.Name, r.Prefix, r.AuthExempt = "keyed-"+r.Name, prefix, false
					d.Routes = append(d.Routes, r)
				}
			}
		}
	})
}

// rotateKey gives an institution a new key and, after the duration, takes its oldest one
// away.
func (s *Soak) rotateKey(r *rand.Rand, duration time.Duration) {
	institution := r.IntN(len(s.keys.present))
	s.keys.issue(institution)
	s.updateConfig(func(d *platformsimulator.Config) { d.Tenants = s.keys.tenants() })
	time.Sleep(duration)
	s.keys.withdraw(institution)
	s.updateConfig(func(d *platformsimulator.Config) { d.Tenants = s.keys.tenants() })
}

// rotateKeys rotates keys one after the other until a time.
func (s *Soak) rotateKeys(until time.Time) {
	r := rand.New(rand.NewPCG(s.options.Seed, s.options.Seed+2))
	for time.Now().Before(until) {
		s.rotateKey(r, minDisruption+time.Duration(r.Int64N(int64(minDisruption))))
	}
}

// startKeyedCaller starts a caller that sends requests with keys until the end of the run.
func (s *Soak) startKeyedCaller() {
	random := rand.New(rand.NewPCG(s.options.Seed, s.options.Seed+1))
	client := &http.Client{Timeout: callerDeadline}
	routes := []string{routeKeyedAll, routeKeyedOne, routeKeyedWrite}
	s.background.Go(func() {
		for {
			select {
			case <-s.ended:
				return
			case <-time.After(time.Duration(random.ExpFloat64() * float64(meanKeyedGap))):
			}
			s.callWithKey(client, s.pickDaemon(random), routes[random.IntN(len(routes))], s.keys.pick(random))
		}
	})
}

// callWithKey sends a request with a key, and with a name of an institution that must not
// reach a target. It records the call and returns the status, 0 if there is no answer.
func (s *Soak) callWithKey(client *http.Client, d *daemon, route string, key issuedKey) int {
	method := http.MethodGet
	if route == routeKeyedWrite {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+d.callerAddress+route+"x"+platformsimulator.KeyQuery(key.key), nil)
	if err != nil {
		s.ledger.addFinding("build request with a key: %v", err)
		return 0
	}
	c := &keyedCall{
		key:    key,
		daemon: d.number,
		sent:   time.Now(),
	}
	s.keys.mu.Lock()
	c.id = fmt.Sprintf("s%d-k%d", s.options.Seed, len(s.keys.calls))
	s.keys.calls = append(s.keys.calls, c)
	s.keys.mu.Unlock()
	req.Host = platformsimulator.RouteHost
	req.Header.Set("Request-Id", c.id)
	req.Header.Set("Request-Deadline", fmt.Sprint(callerDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key.key)
	req.Header.Set("Tenant-Id", "caller")
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
		c.status = resp.StatusCode
	}
	return c.status
}
