package platformsimulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"plantaincleat/standin/pkg/httpresponder"
)

// Target is a running target and the fields of its entry in the store.
type Target struct {
	*httpresponder.Responder
	Service    string
	DataCentre string
	// RegisteredAddress is the address in the target's entry.
	RegisteredAddress string
	// name is the part of the id that all processes of the target share, and process
	// the number of the process from 1.
	name    string
	process int
}

// AllTargets returns all targets, including those that have crashed.
func (p *Platform) AllTargets() []*Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.targets)
}

// ServiceTargets returns the targets of a service that have not crashed.
func (p *Platform) ServiceTargets(service string) []*Target {
	var out []*Target
	for _, t := range p.AllTargets() {
		if t.Service == service && !t.Ended() {
			out = append(out, t)
		}
	}
	return out
}

// AddService starts the given number of targets of a new service and registers them.
// It adds the service to the configuration but does not write the configuration to the
// store: the caller must call UpdateConfig.
func (p *Platform) AddService(name string, replicas int, dataCentres []string) error {
	p.config.Services = append(p.config.Services, Service{
		Name:           name,
		MaxConnections: maxConnections,
		HealthPath:     httpresponder.HealthPath,
	})
	for i := range replicas {
		dataCentre := dataCentres[(len(p.AllTargets())+i)%len(dataCentres)]
		t := &Target{
			Service:    name,
			DataCentre: dataCentre,
			name:       fmt.Sprintf("%s-%d", name, i),
		}
		if err := p.startTarget(t); err != nil {
			return err
		}
	}
	return nil
}

// startTarget starts the next process of a target and registers it.
func (p *Platform) startTarget(t *Target) error {
	id := t.name
	if t.process++; t.process > 1 {
		id = fmt.Sprintf("%s-process-%d", t.name, t.process)
	}
	r, err := httpresponder.New(id, slotsPerTarget, p.records)
	if err != nil {
		return err
	}
	t.Responder = r
	t.RegisteredAddress = r.Address()
	if p.registeredAddress != nil {
		t.RegisteredAddress = p.registeredAddress(t.ID(), t.Address())
	}
	r.CrashOn(p.crashOn)
	r.SetCrashDelay(p.crashDelay)
	r.OnCrash(func() { p.handleCrash(t) })
	p.mu.Lock()
	p.targets = append(p.targets, t)
	p.mu.Unlock()
	return p.RegisterTarget(t, "ready")
}

// handleCrash replaces a crashed target after the restart delay.
func (p *Platform) handleCrash(t *Target) {
	if p.crashed != nil {
		p.crashed(t.ID())
	}
	p.clock.AfterFunc(restartDelay, func() {
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return
		}
		next := &Target{
			Service:    t.Service,
			DataCentre: t.DataCentre,
			name:       t.name,
			process:    t.process,
		}
		err := errors.Join(p.UnregisterTarget(t), p.startTarget(next))
		if err != nil {
			slog.Error("could not replace a crashed target", "target", t.ID(), "err", err.Error())
		}
	})
}

// Executions returns how often targets have begun to execute a request.
func (p *Platform) Executions(request string) int {
	n := 0
	for _, t := range p.AllTargets() {
		n += t.Executions(request)
	}
	return n
}

// Crashes returns the number of targets that have crashed.
func (p *Platform) Crashes() int {
	n := 0
	for _, t := range p.AllTargets() {
		if t.Ended() {
			n++
		}
	}
	return n
}

// targetEntry is the JSON form of a target's entry in the store.
type targetEntry struct {
	Service          string `json:"service"`
	Address          string `json:"address"`
	DataCentre       string `json:"zone"`
	Version          string `json:"version"`
	Slots            int    `json:"slots"`
	State            string `json:"state"`
	WarmupLeftMillis int    `json:"warmup-left-ms"`
	Sequence         int    `json:"sequence"`
}

// RegisterTarget writes the entry of a target with a state such as ready or draining.
func (p *Platform) RegisterTarget(t *Target, state string) error {
	value, err := json.Marshal(targetEntry{
		Service:    t.Service,
		Address:    t.RegisteredAddress,
		DataCentre: t.DataCentre,
		Version:    "v1",
		Slots:      slotsPerTarget,
		State:      state,

		WarmupLeftMillis: int(t.WarmupLeft().Milliseconds()),
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	if p.entries == nil {
		p.entries = make(map[string][]byte)
	}
	p.entries[entryKey(t)] = value
	p.mu.Unlock()
	return p.store.Put(entryKey(t), value)
}

// entryPrefix and the id of a target are the store key of its entry.
const entryPrefix = "servers/"

func entryKey(t *Target) string { return entryPrefix + t.ID() }

// UnregisterTarget removes the entry of a target.
func (p *Platform) UnregisterTarget(t *Target) error {
	p.mu.Lock()
	delete(p.entries, entryKey(t))
	p.mu.Unlock()
	return p.store.Delete(entryKey(t))
}

// WriteAgain writes the present configuration, the orders in force and the entries of all registered targets
// again, as the operator and the targets do after the store has returned from a copy. The
// entries of other targets end, since nobody renews their leases.
func (p *Platform) WriteAgain() error {
	if err := errors.Join(p.writeConfig(), p.writeOrders()); err != nil {
		return err
	}
	p.mu.Lock()
	entries := maps.Clone(p.entries)
	p.mu.Unlock()
	for key, value := range entries {
		if err := p.store.Put(key, value); err != nil {
			return err
		}
	}
	page, err := p.store.Memory().Read(context.Background(), entryPrefix)
	for _, item := range page.Items {
		if _, registered := entries[item.Key]; !registered {
			err = errors.Join(err, p.store.Delete(item.Key))
		}
	}
	return err
}
