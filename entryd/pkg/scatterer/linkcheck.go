package scatterer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc/metadata"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/ranker"
)

const (
	// linkCheckTimeout bounds the time in which other daemons tell whether they reach a
	// target.
	linkCheckTimeout = 100 * time.Millisecond
	// linkCheckPeers is the number of daemons that are asked. Many of them may have lost their
	// own links at the same time.
	linkCheckPeers = 5
)

// checkEnded returns the error of an attempt, without httpsender.ErrEnded if another daemon
// reaches the target: it goes on, and this daemon has lost its link to it.
func (s *Scatterer) checkEnded(ctx context.Context, target *cataloger.Target, err error) error {
	if !errors.Is(err, httpsender.ErrEnded) || s.ReachDetector == nil {
		return err
	}
	// Attempts that fail at the same time share one check.
	reached, _, _ := s.linkChecks.Do(target.ID(), func() (any, error) {
		return s.othersReach(ctx, target.ID()), nil
	})
	if !reached.(bool) {
		return err
	}
	return fmt.Errorf("link to target %s is lost, while another daemon reaches it: %w: %s", target.ID(), httpsender.ErrIncomplete, err.Error())
}

// othersReach reports whether one of some other daemons reaches a target.
func (s *Scatterer) othersReach(ctx context.Context, target string) bool {
	if s.Placement == nil {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), s.Clock, linkCheckTimeout)
	defer cancel()
	// Different targets are asked of different daemons.
	relays := ranker.Rank(slices.Clone(s.Placement.Relays()), target, daemonID)
	var reaches atomic.Bool
	var wg sync.WaitGroup
	for _, d := range relays[:min(linkCheckPeers, len(relays))] {
		wg.Go(func() {
			if s.reaches(ctx, d, target) {
				reaches.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return reaches.Load()
}

// reaches asks a daemon whether it reaches a target. A daemon that does not answer does not.
func (s *Scatterer) reaches(ctx context.Context, d assigner.Daemon, target string) bool {
	stream, err := s.openProbe(ctx, d.Address, &peer.ScatterRequest{
		Sent:  s.Clock.Now().UnixMilli(),
		Reach: target,
	})
	if err != nil {
		return false
	}
	reply, err := stream.Recv()
	return err == nil && reply.GetReaches()
}

// serveProbe answers a request of another daemon without shards, which only checks whether this
// daemon answers, or asks whether it reaches a target.
func (s *Scatterer) serveProbe(stream peer.Peer_ScatterServer, in *peer.ScatterRequest) error {
	if err := stream.SendHeader(metadata.MD{}); err != nil || in.GetReach() == "" {
		return err
	}
	return stream.Send(&peer.ScatterReply{
		Last:    true,
		Reaches: s.ReachDetector != nil && s.ReachDetector.ReachesTarget(stream.Context(), in.GetReach()),
	})
}
