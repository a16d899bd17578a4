package cataloger

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"plantaincleat/tier/gen/config"
)

// evacuatedRetry is the time after which a caller may ask again if all targets that could
// serve it are evacuated. Operators take an evacuation back by hand.
const evacuatedRetry = 2 * time.Second

// Evacuation is an order of the operators that nothing more is sent to the targets of a data
// centre, as this daemon obeys it.
type Evacuation struct {
	DataCentre string
	// Revision is the store revision of the order.
	Revision int64
	// Since is when this daemon has heard of it.
	Since time.Time
	// Targets is the number of targets in the data centre.
	Targets int
	// Running is the number of requests that this daemon has sent there before and that are
	// not answered yet.
	Running int
}

// Evacuations returns the evacuations in force, sorted by data centre.
func (c *Catalog) Evacuations() []Evacuation {
	out := slices.Clone(c.evacuations)
	for i := range out {
		for t := range c.targetsIn(out[i].DataCentre) {
			out[i].Targets++
			out[i].Running += t.state.InFlight()
		}
	}
	return out
}

// targetsIn returns the targets of a data centre.
func (c *Catalog) targetsIn(datacentre string) map[*Target]bool {
	out := make(map[*Target]bool)
	for _, p := range c.pools {
		for _, r := range p.replicas {
			if r.datacentre == datacentre {
				out[r.Target] = true
			}
		}
	}
	return out
}

// evacuate sets which targets of a new catalog get no requests because their data centre is
// evacuated. It takes effect for all requests at once, since they share the state of the
// targets, whichever catalog they were begun with. The caller holds c.mu.
func (c *Cataloger) evacuate(out *Catalog, orders []*config.Evacuation) {
	since := make(map[string]time.Time, len(orders))
	for _, o := range orders {
		begin, known := c.evacuatedSince[o.GetDatacentre()]
		if !known {
			begin = c.options.Clock.Now()
		}
		since[o.GetDatacentre()] = begin
		out.evacuations = append(out.evacuations, Evacuation{
			DataCentre: o.GetDatacentre(),
			Revision:   o.GetRevision(),
			Since:      begin,
		})
	}
	slices.SortFunc(out.evacuations, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	c.evacuatedSince = since
	for _, p := range out.pools {
		for _, r := range p.replicas {
			_, evacuated := since[r.datacentre]
			r.state.SetEvacuated(evacuated)
		}
	}
}

// logEvacuations logs which evacuations have begun and ended since an earlier catalog. The
// caller holds c.mu.
func (c *Cataloger) logEvacuations(before *Catalog) {
	now := c.options.Clock.Now()
	current := c.Catalog().Evacuations()
	for _, e := range current {
		if !before.evacuates(e.DataCentre) {
			slog.Info("data centre is evacuated by order of the operators", "datacentre", e.DataCentre, "order", e.Revision, "revision", c.Catalog().revision, "targets", e.Targets, "running", e.Running)
		}
	}
	for _, e := range before.Evacuations() {
		if !c.Catalog().evacuates(e.DataCentre) {
			slog.Info("evacuation of data centre has ended", "datacentre", e.DataCentre, "order", e.Revision, "revision", c.Catalog().revision, "targets", e.Targets, "running", e.Running, "lasted_ms", now.Sub(e.Since).Milliseconds())
		}
	}
}

// evacuates reports whether an evacuation of a data centre is in force.
func (c *Catalog) evacuates(datacentre string) bool {
	return slices.ContainsFunc(c.evacuations, func(e Evacuation) bool { return e.DataCentre == datacentre })
}
