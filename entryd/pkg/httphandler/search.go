package httphandler

import (
	"net/http"
	"time"

	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/cursorencoder"
	"plantaincleat/tier/pkg/tracer"
)

type searchBody struct {
	Collection string   `json:"collection"`
	Version    string   `json:"version"`
	Class      string   `json:"class"`
	Prefix     string   `json:"prefix"`
	Terms      []string `json:"terms"`
	Limit      int      `json:"limit"`
	Cursor     string   `json:"cursor"`
}

type searchAnswer struct {
	Request  string            `json:"request"`
	Trace    string            `json:"trace"`
	Revision uint64            `json:"revision"`
	Snapshot string            `json:"snapshot"`
	Coverage coverage          `json:"coverage"`
	Records  []record          `json:"records"`
	Cursor   string            `json:"cursor,omitempty"`
	Stats    coordinator.Stats `json:"stats"`
}

type coverage struct {
	Fraction float64   `json:"fraction"`
	Covered  []string  `json:"covered"`
	Missing  []missing `json:"missing"`
}

type missing struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

type record struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

// query is a search that has been parsed and checked.
type query struct {
	institution *config.Institution
	class       *config.Class
	body        searchBody
	request     *coordinator.Request
	hash        uint64
}

func (h *Handler) search(w http.ResponseWriter, r *http.Request) {
	ctx, span := tracer.StartSpan(tracer.Extract(r.Context(), r.Header.Get("Traceparent")), "search")
	defer span.End()
	q, err := h.parseSearch(w, r)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	if err := h.applyQuarantine(q); err != nil {
		h.refuse(w, r, err)
		return
	}
	end, err := h.Admitter.Admit(ctx, q.institution.GetName(), q.class.GetName(), q.request.Deadline)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	start := h.Clock.Now()
	result, err := h.Searcher.Run(ctx, q.request)
	end(searchResult(result, err))
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	if len(result.Missing) == 0 {
		h.Quarantine.RecordCompletion(q.request.Fingerprint)
	}
	answer := buildAnswer(q, result)
	answer.Request = requestID(r)
	answer.Trace = tracer.TraceID(ctx)
	h.recordExplanation(&answer, q, result, h.Clock.Since(start))
	h.writeJSON(w, http.StatusOK, answer)
}

func (h *Handler) parseSearch(w http.ResponseWriter, r *http.Request) (*query, error) {
	q := &query{}
	ix := h.Configs.Index()
	var err error
	if q.institution, err = authenticate(ix, r); err != nil {
		return nil, err
	}
	if err = h.decodeBody(w, r, &q.body); err != nil {
		return nil, err
	}
	if err = checkSearch(&q.body); err != nil {
		return nil, err
	}
	if q.class, err = ix.Class(q.institution, q.body.Class); err != nil {
		return nil, err
	}
	remaining, err := remainingTime(r, q.class)
	if err != nil {
		return nil, err
	}
	return q, h.buildRequest(q, remaining)
}

func checkSearch(b *searchBody) error {
	switch {
	case b.Collection == "":
		return malformed("collection", "is missing")
	case b.Version == "":
		return malformed("version", "is missing")
	case b.Class == "":
		return malformed("class", "is missing")
	case b.Limit < 0 || b.Limit > maxLimit:
		return malformed("limit", "is not between 1 and 1000")
	case len(b.Terms) > maxTerms:
		return malformed("terms", "has more than 32 words")
	}
	if b.Limit == 0 {
		b.Limit = defaultLimit
	}
	return nil
}

// buildRequest sets the coordinator's request from the parsed body.
func (h *Handler) buildRequest(q *query, remaining time.Duration) error {
	now := h.Clock.Now()
	tq := &target.Query{
		Prefix: q.body.Prefix,
		Terms:  q.body.Terms,
		Limit:  uint32(q.body.Limit),
	}
	q.hash = cursorencoder.QueryHash(q.body.Collection, q.body.Version, q.body.Class, tq)
	q.request = &coordinator.Request{
		Collection:  q.body.Collection,
		Version:     q.body.Version,
		Query:       tq,
		Deadline:    now.Add(remaining),
		Floor:       q.class.GetFloor(),
		Institution: q.institution.GetName(),
		Fingerprint: fingerprint(q),
	}
	if goal := q.class.GetGoal().AsDuration(); goal > 0 {
		q.request.Goal = now.Add(goal)
	}
	if q.body.Cursor == "" {
		return nil
	}
	cursor, err := cursorencoder.Decode(q.body.Cursor, q.hash)
	if err != nil {
		return err
	}
	q.request.Snapshot = cursor.GetSnapshot()
	tq.After = cursor.GetPlace()
	return nil
}

// fingerprint returns the quarantine fingerprint of a query. It covers the
// institution, the collection, the version, the prefix and the terms, and leaves out
// the class, the limit and the cursor.
func fingerprint(q *query) uint64 {
	parts := [][]byte{[]byte(q.body.Collection), []byte(q.body.Version), []byte(q.body.Prefix)}
	for _, t := range q.body.Terms {
		parts = append(parts, []byte(t))
	}
	return quarantiner.Fingerprint(q.institution.GetName(), parts...)
}

// applyQuarantine refuses quarantined requests. For suspected requests, and those of a
// class with canaries, it sets to which targets they are sent first.
func (h *Handler) applyQuarantine(q *query) error {
	now := h.Clock.Now()
	plan := h.Quarantine.Plan(now, q.request.Fingerprint)
	if plan.Mode == quarantiner.Refused {
		return &Refusal{
			Kind:       KindQuarantined,
			Message:    "the request is quarantined because targets crashed while executing it",
			Execution:  NotExecuted,
			RetryAfter: plan.Expires.Sub(now),
		}
	}
	q.request.Suspected = plan.Suspected
	q.request.Canary = plan.Mode == quarantiner.Canary && (plan.Suspected || q.class.GetCanary())
	q.request.FirstShard = plan.Shard
	return nil
}

func buildAnswer(q *query, result *coordinator.Result) searchAnswer {
	a := searchAnswer{
		Revision: result.Revision,
		Snapshot: result.Snapshot.ID(),
		Stats:    result.Stats,
		Coverage: coverage{
			Covered: append([]string{}, result.Covered...),
			Missing: []missing{},
		},
		Records: []record{},
	}
	for _, m := range result.Missing {
		a.Coverage.Missing = append(a.Coverage.Missing, missing{
			Shard:  m.GetShard(),
			Reason: reasonName(m.GetReason()),
		})
	}
	if n := result.Snapshot.ShardCount(); n > 0 {
		a.Coverage.Fraction = float64(len(result.Covered)) / float64(n)
	}
	for _, rec := range result.Records {
		a.Records = append(a.Records, record{
			Key:   rec.GetKey(),
			Score: rec.GetScore(),
			Text:  rec.GetText(),
		})
	}
	if n := len(result.Records); n == q.body.Limit && n > 0 {
		last := result.Records[n-1]
		a.Cursor = cursorencoder.Encode(&peer.Cursor{
			Collection: q.body.Collection,
			Version:    q.body.Version,
			Snapshot:   result.Snapshot.ID(),
			Query:      q.hash,
			Place: &target.Place{
				Score: last.GetScore(),
				Key:   last.GetKey(),
			},
		})
	}
	return a
}
