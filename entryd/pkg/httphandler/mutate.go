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
		h.refuse(w, r, refusalBeforeClaim(r, err))
		return
	}
	end, err := h.Admitter.Admit(ctx, m.Institution, mutationClass, m.Deadline)
	if err != nil {
		h.refuse(w, r, refusalBeforeClaim(r, err))
		return
	}
	out, err := h.Mutator.Mutate(ctx, m)
	end(mutationResult(err))
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

// mutationClass is the class of all mutations in admission control, which tracks
// latencies by class.
const mutationClass = "mutation"

// mutationResult returns what the end of a mutation means for admission control. A
// failed mutation is no evidence of load.
func mutationResult(err error) admitter.Result {
	if err != nil {
		return admitter.Result{}
	}
	return admitter.Result{
		Outcome: admitter.Completed,
	}
}

// refusalBeforeClaim returns the refusal of a mutation whose key was not claimed. An
// earlier attempt of the same mutation may have been executed, unless this is the
// first attempt or the request is one that is never executed.
func refusalBeforeClaim(r *http.Request, err error) error {
	refusal := *classify(err)
	never := refusal.Kind == KindMalformed || refusal.Kind == KindOversized
	if !never && r.Header.Get(headerAttempt) != firstAttempt {
		refusal.Execution = ExecutionUnknown
	}
	return &refusal
}

func (h *Handler) parseMutation(w http.ResponseWriter, r *http.Request) (*Mutation, error) {
	ix := h.Configs.Index()
	in, err := authenticate(ix, r)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(HeaderRequestKey)
	if key == "" {
		return nil, malformed(HeaderRequestKey, "header is missing; send a UUIDv7 and repeat it in each retry")
	}
	var b mutateBody
	if err := h.decodeBody(w, r, &b); err != nil {
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
	remaining, err := remainingTime(r, nil)
	if err != nil {
		return nil, err
	}
	number, err := attemptNumber(r)
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
		Deadline:    h.Clock.Now().Add(remaining),
		Fingerprint: hasher.Strings(in.GetName(), b.Collection, b.Version, b.Key, b.Text),
	}, nil
}
