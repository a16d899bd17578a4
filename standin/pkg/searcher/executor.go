package searcher

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/target"
)

// job is one request on its way through an executor.
type job struct {
	// expires is when the answer is of no more use. Zero means never.
	expires time.Time
	// duration returns the execution time; it is called when a slot is taken.
	duration func() time.Duration
	// done receives the end of the job, exactly once.
	done func(result)
}

// result tells how a job ended.
type result struct {
	status target.Status
	// service is the time of execution, waiting excluded.
	service time.Duration
}

// completion is an end not yet handed to its job.
type completion struct {
	job    *job
	result result
}

// executor runs jobs on a fixed number of slots, behind a bounded queue.
type executor struct {
	clock      clockwork.Clock
	slots      int
	queueLimit int

	mu       sync.Mutex
	running  int
	queue    []*job
	draining bool
}

// submit runs, queues or refuses a job.
func (e *executor) submit(j *job) {
	e.mu.Lock()
	var endings []completion
	switch {
	case e.draining:
		endings = append(endings, newRefusal(j, target.Status_STATUS_LEAVING))
	case e.running < e.slots:
		endings = e.start(j, endings)
	default:
		endings = e.enqueue(j, endings)
	}
	e.mu.Unlock()
	deliver(endings)
}

// cancel removes a job that still waits. A running job is not stopped.
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

// setDraining begins or ends the refusal of new jobs. Jobs that run or wait
// are finished.
func (e *executor) setDraining(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = leaving
}

// load returns the number of waiting and running jobs.
func (e *executor) load() (queued, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.queue), e.running
}

func (e *executor) enqueue(j *job, endings []completion) []completion {
	if len(e.queue) >= e.queueLimit {
		endings = e.expire(endings)
	}
	if len(e.queue) >= e.queueLimit {
		return append(endings, newRefusal(j, target.Status_STATUS_SHED))
	}
	e.queue = append(e.queue, j)
	return endings
}

// expire removes the waiting jobs whose deadline has passed.
func (e *executor) expire(endings []completion) []completion {
	now := e.clock.Now()
	e.queue = slices.DeleteFunc(e.queue, func(j *job) bool {
		if !j.expired(now) {
			return false
		}
		endings = append(endings, newRefusal(j, target.Status_STATUS_EXPIRED))
		return true
	})
	return endings
}

// start gives a slot to a job, or ends it if its deadline has passed.
func (e *executor) start(j *job, endings []completion) []completion {
	if j.expired(e.clock.Now()) {
		return append(endings, newRefusal(j, target.Status_STATUS_EXPIRED))
	}
	e.running++
	d := j.duration()
	e.clock.AfterFunc(d, func() { e.finish(j, d) })
	return endings
}

// finish frees the slot of a job and fills it from the queue.
func (e *executor) finish(j *job, service time.Duration) {
	e.mu.Lock()
	e.running--
	endings := []completion{{
		job: j,
		result: result{
			status:  target.Status_STATUS_DONE,
			service: service,
		},
	}}
	for len(e.queue) > 0 && e.running < e.slots {
		next := e.queue[0]
		e.queue = slices.Delete(e.queue, 0, 1)
		endings = e.start(next, endings)
	}
	e.mu.Unlock()
	deliver(endings)
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

func deliver(endings []completion) {
	for _, e := range endings {
		e.job.done(e.result)
	}
}
