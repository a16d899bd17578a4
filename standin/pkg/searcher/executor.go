package searcher

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/target"
)

// job is one request that is submitted to an executor.
type job struct {
	// expires is the time after which the request is refused instead of started. Zero
	// means never.
	expires time.Time
	// duration returns the execution time. It is called when the job gets a slot.
	duration func() time.Duration
	// done receives the result of the job. It is called exactly once.
	done func(result)
}

// result is the result of a job.
type result struct {
	status target.Status
	// service is the execution time, without the time in the queue.
	service time.Duration
}

// completion is a result that is yet to be delivered to its job. Results are delivered
// after the executor's mutex is released.
type completion struct {
	job    *job
	result result
}

// executor executes jobs on a fixed number of slots. Other jobs wait in a bounded queue.
type executor struct {
	clock      clockwork.Clock
	slots      int
	queueLimit int

	mu       sync.Mutex
	running  int
	queue    []*job
	draining bool
}

// submit starts, queues or refuses a job.
func (e *executor) submit(j *job) {
	e.mu.Lock()
	var completions []completion
	switch {
	case e.draining:
		completions = append(completions, newRefusal(j, target.Status_STATUS_LEAVING))
	case e.running < e.slots:
		completions = e.start(j, completions)
	default:
		completions = e.enqueue(j, completions)
	}
	e.mu.Unlock()
	deliver(completions)
}

// cancel removes a job from the queue. It does not stop a running job.
func (e *executor) cancel(j *job) {
	e.mu.Lock()
	i := slices.Index(e.queue, j)
	if i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
	e.mu.Unlock()
	if i >= 0 {
		deliver([]completion{newRefusal(j, target.Status_STATUS_CANCELLED)})
	}
}

// setDraining sets whether new jobs are refused. It does not affect jobs that run or
// wait.
func (e *executor) setDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// load returns the numbers of waiting and running jobs.
func (e *executor) load() (queued, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.queue), e.running
}

// enqueue queues a job. If the queue is full, it first removes expired jobs and then
// refuses the job if there is still no room. The caller holds mu.
func (e *executor) enqueue(j *job, completions []completion) []completion {
	if len(e.queue) >= e.queueLimit {
		completions = e.expire(completions)
	}
	if len(e.queue) >= e.queueLimit {
		return append(completions, newRefusal(j, target.Status_STATUS_SHED))
	}
	e.queue = append(e.queue, j)
	return completions
}

// expire removes expired jobs from the queue. The caller holds mu.
func (e *executor) expire(completions []completion) []completion {
	now := e.clock.Now()
	e.queue = slices.DeleteFunc(e.queue, func(j *job) bool {
		if !j.expired(now) {
			return false
		}
		completions = append(completions, newRefusal(j, target.Status_STATUS_EXPIRED))
		return true
	})
	return completions
}

// start gives a slot to a job, or refuses it if it has expired. The caller holds mu.
func (e *executor) start(j *job, completions []completion) []completion {
	if j.expired(e.clock.Now()) {
		return append(completions, newRefusal(j, target.Status_STATUS_EXPIRED))
	}
	e.running++
	d := j.duration()
	e.clock.AfterFunc(d, func() { e.finish(j, d) })
	return completions
}

// finish frees the slot of a job and starts the next jobs of the queue.
func (e *executor) finish(j *job, service time.Duration) {
	e.mu.Lock()
	e.running--
	completions := []completion{{
		job: j,
		result: result{
			status:  target.Status_STATUS_DONE,
			service: service,
		},
	}}
	for len(e.queue) > 0 && e.running < e.slots {
		next := e.queue[0]
		e.queue = slices.Delete(e.queue, 0, 1)
		completions = e.start(next, completions)
	}
	e.mu.Unlock()
	deliver(completions)
}

func (j *job) expired(now time.Time) bool {
	return !j.expires.IsZero() && !now.Before(j.expires)
}

func newRefusal(j *job, s target.Status) completion {
	return completion{
		job: j,
		result: result{
			status: s,
		},
	}
}

func deliver(completions []completion) {
	for _, c := range completions {
		c.job.done(c.result)
	}
}
