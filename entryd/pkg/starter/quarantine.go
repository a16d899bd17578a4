package starter

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"plantaincleat/entryd/pkg/adminserver"
	"plantaincleat/tier/gen/peer"
)

// quarantinePublishInterval is the time without a change of the gossiped state after
// which a daemon publishes its suspicions and quarantines again. It also publishes
// them when it loses a target.
const quarantinePublishInterval = time.Second

// publishQuarantine publishes the suspicions and quarantines that this daemon knows to
// the other daemons.
func (d *Daemon) publishQuarantine() {
	for _, q := range d.quarantine.Notices(d.clock.Now()) {
		d.gossip.Publish(&peer.Notice{
			Body: &peer.Notice_Quarantine{
				Quarantine: q,
			},
		})
	}
}

// followQuarantine merges the suspicions and quarantines of other daemons, and publishes
// its own of queries, until ctx is done.
func (d *Daemon) followQuarantine(ctx context.Context) {
	changed, stop := d.gossip.Subscribe()
	defer stop()
	for {
		d.crashes.MergeNotices(d.clock.Now(), d.gossip.Notices())
		for _, n := range d.gossip.Notices() {
			if q := n.GetQuarantine(); q != nil {
				d.quarantine.Merge(d.clock.Now(), q)
			}
		}
		select {
		case <-changed:
		case <-d.clock.After(quarantinePublishInterval):
			d.publishQuarantine()
		case <-ctx.Done():
			return
		}
	}
}

// quarantineView is one quarantine as operators see it.
type quarantineView struct {
	Fingerprint string   `json:"fingerprint"`
	Institution string   `json:"institution"`
	Expires     string   `json:"expires"`
	Targets     []string `json:"targets"`
}

func (d *Daemon) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	out := []quarantineView{}
	for _, q := range d.quarantine.List(d.clock.Now()) {
		out = append(out, quarantineView{
			Fingerprint: strconv.FormatUint(q.GetFingerprint(), 16),
			Institution: q.GetInstitution(),
			Expires:     time.UnixMilli(q.GetExpires()).UTC().Format(time.RFC3339),
			Targets:     q.GetTargets(),
		})
	}
	adminserver.WriteJSON(w, http.StatusOK, out)
}

func (d *Daemon) clearQuarantine(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := strconv.ParseUint(r.PathValue("fingerprint"), 16, 64)
	if err != nil {
		adminserver.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": "fingerprint: not a number in hex"})
		return
	}
	if !d.quarantine.Clear(d.clock.Now(), fingerprint) {
		adminserver.WriteJSON(w, http.StatusNotFound, map[string]string{"error": "fingerprint: not quarantined"})
		return
	}
	d.publishQuarantine()
	adminserver.WriteJSON(w, http.StatusOK, map[string]string{"cleared": r.PathValue("fingerprint")})
}
