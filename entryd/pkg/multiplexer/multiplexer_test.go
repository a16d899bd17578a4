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

// fakeStream is the client side of a stream; the test acts as the server.
type fakeStream struct {
	ctx     context.Context
	sent    chan *target.Calls
	answers chan *target.Answers
	broken  chan struct{}
}

func newFakeStream(ctx context.Context) *fakeStream {
	return &fakeStream{
		ctx:     ctx,
		sent:    make(chan *target.Calls, 8),
		answers: make(chan *target.Answers, 8),
		broken:  make(chan struct{}),
	}
}

func (p *fakeStream) Send(c *target.Calls) error {
	p.sent <- c
	return nil
}

func (p *fakeStream) Recv() (*target.Answers, error) {
	select {
	case a := <-p.answers:
		return a, nil
	case <-p.broken:
		return nil, errBroken
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
}

// newTestLink returns a link and a channel of the streams that it opens. Opening
// fails while refuse is true.
func newTestLink(refuse *bool) (*TargetLink, chan *fakeStream) {
	streams := make(chan *fakeStream, 8)
	link := NewTargetLink("t", nil, clockwork.NewRealClock())
	link.open = func(ctx context.Context) (Stream[*target.Calls, *target.Answers], error) {
		if *refuse {
			return nil, errBroken
		}
		p := newFakeStream(ctx)
		streams <- p
		return p, nil
	}
	return link, streams
}

func newCall(nonce uint64) *target.Call {
	return &target.Call{
		Nonce: nonce,
	}
}

func TestLinkRoutesAnswersByNonce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := false
		link, streams := newTestLink(&refuse)
		defer link.Close()
		got := map[uint64]uint64{}
		for nonce := uint64(1); nonce <= 2; nonce++ {
			link.Send(nonce, newCall(nonce), func(a *target.Answer, _ error) { got[nonce] = a.GetNonce() })
		}
		synctest.Wait()
		p := <-streams
		p.answers <- &target.Answers{
			Answers: []*target.Answer{{Nonce: 2}, {Nonce: 7}, {Nonce: 1}},
		}
		synctest.Wait()
		link.Forget(1)
		p.answers <- &target.Answers{
			Answers: []*target.Answer{{Nonce: 1}},
		}
		synctest.Wait()
		if got[1] != 1 || got[2] != 2 || link.Unmatched() != 2 {
			t.Errorf("sinks received nonces %v, want each its own; %d unmatched answers, want 2", got, link.Unmatched())
		}
	})
}

// TestLinkErrorTellsWhetherSent checks that a request counts as not sent only if it
// was never passed to the transport.
func TestLinkErrorTellsWhetherSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := true
		link, streams := newTestLink(&refuse)
		defer link.Close()
		var err error
		sink := func(_ *target.Answer, e error) { err = e }
		link.Send(1, newCall(1), sink)
		synctest.Wait()
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("connection refused: %v, want ErrNotSent", err)
		}
		err = nil
		link.Send(2, newCall(2), sink)
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("within the backoff: %v, want ErrNotSent at once", err)
		}
		refuse, err = false, nil
		time.Sleep(maxBackoff)
		link.Send(3, newCall(3), sink)
		synctest.Wait()
		close((<-streams).broken)
		synctest.Wait()
		if !errors.Is(err, ErrStreamLost) || !errors.Is(err, errBroken) {
			t.Errorf("stream broken after the send: %v, want ErrStreamLost with its cause", err)
		}
		time.Sleep(maxBackoff)
		link.Send(4, newCall(4), sink)
		synctest.Wait()
		link.Close()
		synctest.Wait()
		if !errors.Is(err, ErrClosed) || errors.Is(err, ErrStreamLost) {
			t.Errorf("link closed by this side: %v, want ErrClosed", err)
		}
		if link.Pending() != 0 || link.Connected() {
			t.Errorf("after Close: %d pending, connected %v; want 0, false", link.Pending(), link.Connected())
		}
	})
}
