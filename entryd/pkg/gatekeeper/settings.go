package gatekeeper

import (
	"context"
	"net"
	"net/http"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/accountant"
	"plantaincleat/tier/gen/settings"
)

// bytesPerMB converts the memory in the settings to bytes.
const bytesPerMB = 1 << 20

// operatorsHeadLimit is the greatest head of a request to a listener for operators, in bytes.
const operatorsHeadLimit = 16 << 10

// HostOf returns the host that settings describe.
func HostOf(cfg *settings.Entryd) accountant.Host {
	return accountant.Host{
		Memory:      int64(cfg.GetHost().GetMemory() * bytesPerMB),
		Descriptors: int(cfg.GetHost().GetDescriptors()),
	}
}

// ForCallers returns a keeper of the listener for callers. headLimit may be nil.
func ForCallers(cfg *settings.Entryd, clock clockwork.Clock, headLimit func() int) *Keeper {
	limits := HostOf(cfg).Callers()
	set := cfg.GetCallers()
	if n := set.GetConnections(); n > 0 {
		limits.Connections = int(n)
	}
	if mb := set.GetMemory(); mb > 0 {
		limits.Bytes = int64(mb * bytesPerMB)
	}
	return New(Options{
		Name:          "callers",
		Limits:        limits,
		Clock:         clock,
		AnswerTimeout: set.GetAnswer().AsDuration(),
		HeadLimit:     headLimit,
		Encrypted:     cfg.GetSecurity().GetCertificate() != "",
	})
}

// ForPeers returns a keeper of the listener for other daemons.
func ForPeers(cfg *settings.Entryd, clock clockwork.Clock) *Keeper {
	return New(Options{
		Name:   "peers",
		Limits: HostOf(cfg).Peers(),
		Clock:  clock,
		Opaque: true,
	})
}

// ForOperators returns a keeper of a listener for operators, readiness or metrics.
func ForOperators(cfg *settings.Entryd, clock clockwork.Clock) *Keeper {
	return New(Options{
		Name:      "operators",
		Limits:    HostOf(cfg).Operators(),
		Clock:     clock,
		HeadLimit: func() int { return operatorsHeadLimit },
		Encrypted: cfg.GetSecurity().GetCertificate() != "",
	})
}

// Guard makes a server follow the requests on the keeper's connections, besides what its hooks do
// already.
func (k *Keeper) Guard(s *http.Server) {
	s.Handler = Handler(s.Handler)
	observe, derive := s.ConnState, s.ConnContext
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		k.ObserveConnState(nc, state)
		if observe != nil {
			observe(nc, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if derive != nil {
			ctx = derive(ctx, nc)
		}
		return ConnContext(ctx, nc)
	}
}
