package scatterer

import (
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/gen/peer"
)

// errStopping is the answer to requests of other daemons that arrive too late in a graceful
// stop. It tells them that nothing was sent to a target.
var errStopping = status.Error(codes.FailedPrecondition, "daemon is stopping")

// stopSignals tell the requests how far a graceful stop of the daemon is. The channels are
// closed in the order of the fields.
type stopSignals struct {
	sendsEnded, requestsEnded chan struct{}
	closeSends, closeRequests func()
}

func newStopSignals() stopSignals {
	sends, requests := make(chan struct{}), make(chan struct{})
	return stopSignals{
		sendsEnded:    sends,
		requestsEnded: requests,
		closeSends:    sync.OnceFunc(func() { close(sends) }),
		closeRequests: sync.OnceFunc(func() { close(requests) }),
	}
}

// EndSends makes the daemon send nothing more, neither to targets nor to other daemons: new
// requests are refused, and so are those that wait and were sent to no target. Requests that
// were sent go on.
func (s *Scatterer) EndSends() { s.stopping.closeSends() }

// EndRequests ends the running requests as if their deadlines had passed, so that each gets an
// answer. It includes EndSends.
func (s *Scatterer) EndRequests() {
	s.stopping.closeSends()
	s.stopping.closeRequests()
}

// mayNotSend reports whether EndSends was called.
func (s *Scatterer) mayNotSend() bool {
	select {
	case <-s.stopping.sendsEnded:
		return true
	default:
		return false
	}
}

// refuseStopping refuses a request that arrives after EndSends, and returns nil for any other.
func (s *Scatterer) refuseStopping(route *cataloger.Route) *Result {
	if !s.mayNotSend() {
		return nil
	}
	return refuse(route, peer.Reason_REASON_LEAVING, minRetry)
}

// withdrawWaiting withdraws the attempts that wait for a connection to a target.
func (j *job) withdrawWaiting() {
	for _, a := range j.open {
		if a.dest.owner == nil {
			a.cancelQueue()
		}
	}
}

// expire ends the query as if the deadline had passed.
func (j *job) expire() { j.apply(j.query.Tick(j.request.Deadline)) }
