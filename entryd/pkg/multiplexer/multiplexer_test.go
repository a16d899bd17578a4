package multiplexer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/gen/target"
)

var errBroken = errors.New("broken")

// pipe is the client side of a stream whose other end is the test.
type pipe struct {
	ctx     context.Context
	sent    chan *target.Calls
	answers chan *target.Answers
	broken  chan struct{}
}

func newPipe(ctx context.Context) *pipe {
	return &pipe{
		ctx:     ctx,
		sent:    make(chan *target.Calls, 8),
		answers: make(chan *target.Answers, 8),
		broken:  make(chan struct{}),
	}
}

func (p *pipe) Send(c *target.Calls) error {
	p.sent <- c
	return nil
}

func (p *pipe) Recv() (*target.Answers, error) {
	select {
	case a := <-p.answers:
		return a, nil
	case <-p.broken:
		return nil, errBroken
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
}

// linked returns a link and the streams that it opens. Opening fails while
// refuse is true.
func linked(refuse *bool) (*TargetLink, chan *pipe) {
	pipes := make(chan *pipe, 8)
	link := NewTargetLink("t", nil, clockwork.NewRealClock())
	link.open = func(ctx context.Context) (Stream[*target.Calls, *target.Answers], error) {
		if *refuse {
			return nil, errBroken
		}
		p := newPipe(ctx)
		pipes <- p
		return p, nil
	}
	return link, pipes
}

func numbered(nonce uint64) *target.Call {
	return &target.Call{
		Nonce: nonce,
	}
}

func TestAnswersReachTheirOwnSink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := false
		link, pipes := linked(&refuse)
		defer link.Close()
		got := map[uint64]uint64{}
		for nonce := uint64(1); nonce <= 2; nonce++ {
			link.Send(nonce, numbered(nonce), func(a *target.Answer, _ error) { got[nonce] = a.GetNonce() })
		}
		synctest.Wait()
		p := <-pipes
		p.answers <- &target.Answers{
			Answers: []*target.Answer{{Nonce: 2}, {Nonce: 7}, {Nonce: 1}},
		}
		synctest.Wait()
		link.Forget(1)
		p.answers <- &target.Answers{
			Answers: []*target.Answer{{Nonce: 1}},
		}
		synctest.Wait()
		if got[1] != 1 || got[2] != 2 || link.Unknown() != 2 {
			t.Errorf("sinks got %v, %d unknown answers, want each its own and 2", got, link.Unknown())
		}
	})
}

// TestLossTellsWhatWasSent checks that a request counts as not sent only if it
// was never handed to a transport.
func TestLossTellsWhatWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := true
		link, pipes := linked(&refuse)
		defer link.Close()
		var err error
		sink := func(_ *target.Answer, e error) { err = e }
		link.Send(1, numbered(1), sink)
		synctest.Wait()
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("connection refused: %v, want ErrNotSent", err)
		}
		err = nil
		link.Send(2, numbered(2), sink)
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("within the backoff: %v, want ErrNotSent at once", err)
		}
		refuse, err = false, nil
		time.Sleep(maxBackoff)
		link.Send(3, numbered(3), sink)
		synctest.Wait()
		close((<-pipes).broken)
		synctest.Wait()
		if !errors.Is(err, ErrStreamLost) || !errors.Is(err, errBroken) {
			t.Errorf("stream broken after the send: %v, want ErrLost with its cause", err)
		}
		time.Sleep(maxBackoff)
		link.Send(4, numbered(4), sink)
		synctest.Wait()
		link.Close()
		synctest.Wait()
		if !errors.Is(err, ErrClosed) || errors.Is(err, ErrStreamLost) {
			t.Errorf("link closed here: %v, want ErrClosed", err)
		}
		if link.Pending() != 0 || link.Connected() {
			t.Errorf("after the loss: %d pending, up %v", link.Pending(), link.Connected())
		}
	})
}
