package prover

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/prover/pkg/deployer"
)

const (
	// senders is the number of callers that send mutations concurrently.
	senders = 12
	// maxAttempts bounds the attempts of one key.
	maxAttempts = 4
	// mutationDeadline is the deadline of a mutation.
	mutationDeadline = 1200 * time.Millisecond
	// answerTimeout is the time after which a caller stops waiting for an
	// answer.
	answerTimeout = 3 * time.Second
	// retryDelay is the time after which an impatient caller sends the second
	// attempt although the first is not answered. It also bounds the random
	// pause before other attempts.
	retryDelay = 300 * time.Millisecond
)

// verdict is what a caller knows about an attempt after its answer.
type verdict string

const (
	done             verdict = "done"
	notExecuted      verdict = "not executed"
	executionUnknown verdict = "unknown"
)

// attempt is one attempt of a mutation with its answer. Times are relative to
// the start of the sender.
type attempt struct {
	key    string
	record string
	// ordinal counts the attempts of the key from 1.
	ordinal int
	// sentNumber is the attempt number in the request header, 0 if the header
	// is not sent.
	sentNumber int
	begin      time.Duration
	end        time.Duration
	verdict    verdict
	// outcome is the outcome in the answer if the verdict is done.
	outcome string
	// refusal is the kind and message of a refusal, or the error if no answer
	// was read.
	refusal string
	daemon  string
}

// sender sends mutations to all daemons and records the answers.
type sender struct {
	d      *deployer.Deployment
	client *http.Client
	start  time.Time

	mu       sync.Mutex
	attempts []attempt
}

func newSender(d *deployer.Deployment) *sender {
	return &sender{
		d: d,
		client: &http.Client{
			Timeout: answerTimeout,
		},
		start: time.Now(),
	}
}

// run sends mutations from concurrent callers until ctx ends. The seed decides
// their keys, daemons and delays.
func (s *sender) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				s.sendUntilDone(rng)
			}
		})
	}
	wg.Wait()
}

// newKey returns a UUIDv7 of the current time with random bits from rng.
func newKey(rng *rand.Rand) string {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], rng.Uint64())
	// A ChaCha8 reader does not fail.
	id, _ := uuid.NewV7FromReader(rand.NewChaCha8(seed))
	return id.String()
}

// sendUntilDone sends attempts of one mutation until one is answered as done,
// each through another daemon. Some callers number their attempts, and some
// send the second attempt before the first is answered.
func (s *sender) sendUntilDone(rng *rand.Rand) {
	key := newKey(rng)
	numbered, impatient := rng.IntN(3) > 0, rng.IntN(4) == 0
	record := fmt.Sprintf("%04x.%s", rng.IntN(1<<16), key[:8])
	first := rng.IntN(daemonCount)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range maxAttempts {
		ended := make(chan verdict, 1)
		wg.Go(func() { ended <- s.sendAttempt(key, record, i+1, numbered, first+i) })
		if impatient && i == 0 {
			time.Sleep(retryDelay)
			continue
		}
		if <-ended == done {
			return
		}
		time.Sleep(time.Duration(rng.IntN(int(retryDelay))))
	}
}

// sendAttempt sends one attempt to a daemon, records it and returns its
// verdict.
func (s *sender) sendAttempt(key, record string, ordinal int, numbered bool, daemon int) verdict {
	number := 0
	if numbered {
		number = ordinal
	}
	m := s.d.Daemons()[daemon%len(s.d.Daemons())]
	a := attempt{
		key:        key,
		record:     record,
		ordinal:    ordinal,
		sentNumber: number,
		daemon:     m.Settings.GetId(),
		begin:      time.Since(s.start),
	}
	s.post(&a, m.URL())
	a.end = time.Since(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
	return a.verdict
}

// mutationAnswer is the JSON body of an answer to a mutation.
type mutationAnswer struct {
	Outcome struct {
		Target string `json:"target"`
		Detail string `json:"detail"`
	} `json:"outcome"`
	Error struct {
		Kind    string `json:"kind"`
		Message string `json:"message"`
		Run     string `json:"run"`
	} `json:"error"`
}

// post sends the request of an attempt and records its answer. If there is no
// valid answer of a daemon, it is unknown whether the mutation was executed.
func (s *sender) post(a *attempt, url string) {
	a.verdict = executionUnknown
	body, err := json.Marshal(map[string]string{
		"collection": "entrants",
		"version":    deploymentplanner.SchemaVersion,
		"key":        a.record,
		"text":       "night",
	})
	if err != nil {
		a.refusal = err.Error()
		return
	}
	r, err := http.NewRequest(http.MethodPost, url+"/v1/mutate", bytes.NewReader(body))
	if err != nil {
		a.refusal = err.Error()
		return
	}
	// Without GetBody the HTTP transport does not retry the request itself.
	r.GetBody = nil
	r.Header.Set("Institution", s.d.Profile().Name)
	r.Header.Set("Deadline", strconv.FormatInt(mutationDeadline.Milliseconds(), 10))
	r.Header.Set("Request-Key", a.key)
	if a.sentNumber > 0 {
		r.Header.Set("Request-Attempt", strconv.Itoa(a.sentNumber))
	}
	resp, err := s.client.Do(r)
	if err != nil {
		a.refusal = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var answer mutationAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		a.refusal = err.Error()
		return
	}
	a.recordAnswer(resp.StatusCode, &answer)
}

func (a *attempt) recordAnswer(status int, answer *mutationAnswer) {
	switch {
	case status == http.StatusOK:
		a.verdict = done
		a.outcome = answer.Outcome.Target + " " + answer.Outcome.Detail
	case answer.Error.Run == "no":
		a.verdict = notExecuted
		a.refusal = answer.Error.Kind + ": " + answer.Error.Message
	default:
		a.refusal = answer.Error.Kind + ": " + answer.Error.Message
	}
}
