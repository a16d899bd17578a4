package launcher

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"plantaincleat/standin/pkg/searcher"
)

// Group is a set of targets that behave alike.
type Group struct {
	// IDs are the ids of the targets. If empty, the group consists of all targets
	// of the configuration.
	IDs []string
	// QueueLimit is the number of requests that may wait at each target.
	QueueLimit int
	// SetupTime is the time that the set-up of a new connection takes.
	SetupTime    time.Duration
	LatencyModel searcher.LatencyModel
}

// groupFile is the JSON form of a Group. Durations are strings such as "6ms".
type groupFile struct {
	IDs        []string `json:"ids"`
	Queue      int      `json:"queue"`
	Setup      string   `json:"setup"`
	Median     string   `json:"median"`
	Sigma      float64  `json:"sigma"`
	Slow       float64  `json:"slow"`
	SlowFactor float64  `json:"slowfactor"`
	Cold       string   `json:"cold"`
	ColdFactor float64  `json:"coldfactor"`
}

// ParseGroup parses a group in JSON with comments. Unknown fields are errors.
func ParseGroup(b []byte) (Group, error) {
	standard, err := hujson.Standardize(b)
	if err != nil {
		return Group{}, eris.Wrap(err, "parse group")
	}
	var f groupFile
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Group{}, eris.Wrap(err, "parse group")
	}
	g := Group{
		IDs:        f.IDs,
		QueueLimit: f.Queue,
		LatencyModel: searcher.LatencyModel{
			Sigma:        f.Sigma,
			SlowFraction: f.Slow,
			SlowFactor:   f.SlowFactor,
			ColdFactor:   f.ColdFactor,
		},
	}
	durations := []struct {
		field string
		text  string
		value *time.Duration
	}{
		{field: "setup", text: f.Setup, value: &g.SetupTime},
		{field: "median", text: f.Median, value: &g.LatencyModel.Median},
		{field: "cold", text: f.Cold, value: &g.LatencyModel.ColdPeriod},
	}
	for _, d := range durations {
		if d.text == "" {
			continue
		}
		if *d.value, err = time.ParseDuration(d.text); err != nil {
			return Group{}, eris.Wrapf(err, "field %s", d.field)
		}
	}
	return g, nil
}
