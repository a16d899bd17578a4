package scatterer

import (
	"net/http"
	"time"

	"plantaincleat/entryd/pkg/crashtracker"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
)

// Request is the request of a caller.
type Request struct {
	// ID is unique for each attempt of a caller.
	ID     string
	Method string
	// Path is the path with the query, as the caller sent it.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Caller identifies the caller across its connections and requests.
	Caller string
	// Received is when the request arrived.
	Received time.Time
	// RTT is the time that the request and its answer need in the network between the
	// caller and the daemon, or zero if it is unknown.
	RTT time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Institution is the name of the institution whose key the caller has sent, or empty
	// if it sent none. Header contains it too.
	Institution string
	// Rank is the priority, 0 for the highest. It is that of the institution if it has one,
	// else that of the route.
	Rank uint32
}

// Subject returns what identifies the request when the caller sends it again with another
// id.
func (r *Request) Subject() crashtracker.Subject {
	return crashtracker.NewSubject(r.Caller, []byte(r.Method), []byte(r.Host), []byte(r.Path), r.Body)
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of a request.
const (
	// Answered means that the result is the answer of one target.
	Answered Outcome = iota
	// Merged means that the result was merged from the answers of several shards.
	Merged
	// Refused means that no target has executed the request, and none will.
	Refused
	// Failed means that there is no answer. A target may have executed the request.
	Failed
	// Expired means that there is no answer before the deadline. A target may have
	// executed the request.
	Expired
	// Abandoned means that the caller closed the connection.
	Abandoned
)

var outcomeNames = []string{"answered", "merged", "refused", "failed", "expired", "abandoned"}

// String returns the name of the outcome as used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	// Subject identifies the request across its sends.
	Subject crashtracker.Subject
	// Answer is the response of the target if the outcome is Answered.
	Answer *httpsender.Answer
	// Body holds the merged records if the outcome is Merged.
	Body []byte
	// Signatures are the signatures of the targets whose answers were merged.
	Signatures []string
	// Shards is the number of pools that the request was meant for.
	Shards int
	// Reason is the reason with the highest enum value among the missing shards.
	Reason peer.Reason
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
	// LateShards describes the shards because of which the forecast refused the request.
	LateShards []string
	// Attempts are the attempts in the order of their start.
	Attempts []Attempt
	// Hedges counts the shards that were sent as hedges, and Retries those that were
	// sent again after a failure. A shard counts each time that it is sent.
	Hedges, Retries int
}

// Attempt describes a sub-request for logs.
type Attempt struct {
	// Shard is the name of the pool, or the number of shards for an attempt that was
	// sent to an owner.
	Shard string
	// Target is the id of the target or of the owner.
	Target string
	Hedge  bool
	// Start is the time from the arrival of the request to the start of the attempt.
	Start time.Duration
	// Took is the duration of the attempt, or zero while it is in flight.
	Took   time.Duration
	Result string
}
