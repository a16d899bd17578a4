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
	// senders is the number of callers that send mutations at once.
	senders = 12
	// sends is the highest number of sends of one key.
	sends = 4
	// entryTime is the deadline of a mutation.
	entryTime = 1200 * time.Millisecond
	// giveUp is the time after which a caller waits no longer for an answer.
	giveUp = 3 * time.Second
	// impatience is the time after which some callers send again beside the
	// first send.
	impatience = 300 * time.Millisecond
)

// verdict is what a caller knows about a request that it sent.
type verdict string

const (
	done    verdict = "done"
	notRun  verdict = "not run"
	unknown verdict = "unknown"
)

// send is one send of a mutation with its answer. Times are since the start of
// the run.
type send struct {
	key    string
	record string
	// order counts the sends of the key from 1.
	order int
	// number is what the daemon is told of the order, 0 for nothing.
	number  int
	call    time.Duration
	end     time.Duration
	verdict verdict
	// outcome is that of a send that was answered as done.
	outcome string
	// refusal is the kind of a refusal, or the error of a lost answer.
	refusal string
	daemon  string
}

// sender sends mutations to all daemons and records what it is told.
type sender struct {
	d      *deployer.Deployment
	client *http.Client
	start  time.Time

	mu    sync.Mutex
	sends []send
}

func newSender(d *deployer.Deployment) *sender {
	return &sender{
		d: d,
		client: &http.Client{
			Timeout: giveUp,
		},
		start: time.Now(),
	}
}

// run has many callers send mutations until ctx ends.
func (s *sender) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				s.enter(rng)
			}
		})
	}
	wg.Wait()
}

// newKey returns a UUIDv7 of the present time.
func newKey(rng *rand.Rand) string {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], rng.Uint64())
	// A ChaCha8 reader does not fail.
	id, _ := uuid.NewV7FromReader(rand.NewChaCha8(seed))
	return id.String()
}

// enter sends one mutation until it is done, each time through another daemon.
// Some callers number their sends, and some do not wait for the answer before
// they send again.
func (s *sender) enter(rng *rand.Rand) {
	key := newKey(rng)
	numbered, impatient := rng.IntN(3) > 0, rng.IntN(4) == 0
	record := fmt.Sprintf("%04x.%s", rng.IntN(1<<16), key[:8])
	first := rng.IntN(fleet)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range sends {
		ended := make(chan verdict, 1)
		wg.Go(func() { ended <- s.send(key, record, i+1, numbered, first+i) })
		if impatient && i == 0 {
			time.Sleep(impatience)
			continue
		}
		if <-ended == done {
			return
		}
		time.Sleep(time.Duration(rng.IntN(int(impatience))))
	}
}

// send sends a mutation to one daemon and records the answer.
func (s *sender) send(key, record string, order int, numbered bool, daemon int) verdict {
	number := 0
	if numbered {
		number = order
	}
	m := s.d.Daemons()[daemon%len(s.d.Daemons())]
	one := send{
		key:    key,
		record: record,
		order:  order,
		number: number,
		daemon: m.Settings.GetId(),
		call:   time.Since(s.start),
	}
	s.post(&one, m.URL())
	one.end = time.Since(s.start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = append(s.sends, one)
	return one.verdict
}

// mutationAnswer is an answer of the callers' API.
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

// post makes the request and notes its answer. Whatever is no answer of a
// daemon leaves it unknown whether the mutation was run.
func (s *sender) post(one *send, url string) {
	one.verdict = unknown
	body, err := json.Marshal(map[string]string{
		"collection": "entrants",
		"version":    deploymentplanner.SchemaVersion,
		"key":        one.record,
		"text":       "night",
	})
	if err != nil {
		one.refusal = err.Error()
		return
	}
	r, err := http.NewRequest(http.MethodPost, url+"/v1/mutate", bytes.NewReader(body))
	if err != nil {
		one.refusal = err.Error()
		return
	}
	// Without GetBody the transport does not send the request a second time.
	r.GetBody = nil
	r.Header.Set("Institution", s.d.Profile().Name)
	r.Header.Set("Deadline", strconv.FormatInt(entryTime.Milliseconds(), 10))
	r.Header.Set("Request-Key", one.key)
	if one.number > 0 {
		r.Header.Set("Request-Attempt", strconv.Itoa(one.number))
	}
	resp, err := s.client.Do(r)
	if err != nil {
		one.refusal = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var a mutationAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		one.refusal = err.Error()
		return
	}
	one.note(resp.StatusCode, &a)
}

func (one *send) note(status int, a *mutationAnswer) {
	switch {
	case status == http.StatusOK:
		one.verdict = done
		one.outcome = a.Outcome.Target + " " + a.Outcome.Detail
	case a.Error.Run == "no":
		one.verdict = notRun
		one.refusal = a.Error.Kind + ": " + a.Error.Message
	default:
		one.refusal = a.Error.Kind + ": " + a.Error.Message
	}
}
