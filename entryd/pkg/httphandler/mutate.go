package httphandler

import (
	"net/http"

	"plantaincleat/entryd/pkg/admitter"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/hasher"
	"plantaincleat/tier/pkg/tracer"
)

type mutateBody struct {
	Collection string `json:"collection"`
	Version    string `json:"version"`
	Key        string `json:"key"`
	Text       string `json:"text"`
}

type mutateAnswer struct {
	Request string  `json:"request"`
	Trace   string  `json:"trace"`
	Outcome outcome `json:"outcome"`
}

type outcome struct {
	Key    string `json:"key"`
	Target string `json:"target"`
	Detail string `json:"detail"`
}

func (h *Handler) mutate(w http.ResponseWriter, r *http.Request) {
	ctx, span := tracer.StartSpan(tracer.Extract(r.Context(), r.Header.Get("Traceparent")), "mutate")
	defer span.End()
	m, err := h.parseMutation(w, r)
	if err != nil {
		h.refuse(w, r, unclaimed(r, err))
		return
	}
	end, err := h.Admitter.Admit(ctx, m.Institution, mutationClass, m.Deadline)
	if err != nil {
		h.refuse(w, r, unclaimed(r, err))
		return
	}
	out, err := h.Mutator.Mutate(ctx, m)
	end(mutationLoad(err))
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	h.writeJSON(w, http.StatusOK, mutateAnswer{
		Request: requestID(r),
		Trace:   tracer.TraceID(ctx),
		Outcome: outcome{
			Key:    out.GetKey(),
			Target: out.GetTarget(),
			Detail: out.GetDetail(),
		},
	})
}

// mutationClass names mutations to the admission, which keeps latencies by class.
const mutationClass = "mutation"

// mutationLoad tells what the end of a mutation says about the load. One that
// was not done says nothing.
func mutationLoad(err error) admitter.Result {
	if err != nil {
		return admitter.Result{}
	}
	return admitter.Result{
		Outcome: admitter.Completed,
	}
}

// unclaimed is the refusal of a mutation whose key was not claimed. Earlier
// sends of the same request may have been run, unless it is the first one, or
// one that cannot be run at any time.
func unclaimed(r *http.Request, err error) error {
	refusal := *classify(err)
	never := refusal.Kind == KindMalformed || refusal.Kind == KindOversized
	if !never && r.Header.Get(headerAttempt) != firstAttempt {
		refusal.Run = RunUnknown
	}
	return &refusal
}

func (h *Handler) parseMutation(w http.ResponseWriter, r *http.Request) (*Mutation, error) {
	ix := h.Configs.Index()
	in, err := identify(ix, r)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(HeaderRequestKey)
	if key == "" {
		return nil, malformed(HeaderRequestKey, "header is missing; send a UUIDv7 and repeat it in resends")
	}
	var b mutateBody
	if err := h.decode(w, r, &b); err != nil {
		return nil, err
	}
	switch {
	case b.Collection == "":
		return nil, malformed("collection", "is missing")
	case b.Version == "":
		return nil, malformed("version", "is missing")
	case b.Key == "":
		return nil, malformed("key", "is missing")
	}
	if _, err := ix.ResolveSnapshot(b.Collection, b.Version, ""); err != nil {
		return nil, err
	}
	left, err := deadline(r, nil)
	if err != nil {
		return nil, err
	}
	number, err := attempt(r)
	if err != nil {
		return nil, err
	}
	return &Mutation{
		Key:         key,
		Attempt:     number,
		Institution: in.GetName(),
		Collection:  b.Collection,
		Version:     b.Version,
		Record: &target.Record{
			Key:  b.Key,
			Text: b.Text,
		},
		Deadline:    h.Clock.Now().Add(left),
		Fingerprint: hasher.Strings(in.GetName(), b.Collection, b.Version, b.Key, b.Text),
	}, nil
}
