// Package starter assembles a daemon from its settings, runs it and stops it.
package starter

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"plantaincleat/entryd/pkg/adminserver"
	"plantaincleat/entryd/pkg/adopter"
	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/bytecounter"
	"plantaincleat/entryd/pkg/claimer"
	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/entryd/pkg/dialer"
	"plantaincleat/entryd/pkg/dispatcher"
	"plantaincleat/entryd/pkg/draintracker"
	"plantaincleat/entryd/pkg/explanationkeeper"
	"plantaincleat/entryd/pkg/gatherer"
	"plantaincleat/entryd/pkg/gossiper"
	"plantaincleat/entryd/pkg/httphandler"
	"plantaincleat/entryd/pkg/peerserver"
	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/settings"
	"plantaincleat/tier/pkg/indexer"
	"plantaincleat/tier/pkg/storer"
	"plantaincleat/tier/pkg/tlsprovider"
)

const (
	// defaultGrace is the time for running work at a graceful shutdown.
	defaultGrace = 30 * time.Second
	// lameDuckTime lies between failing readiness and refusing connections.
	lameDuckTime = time.Second
	// readHeaderTimeout bounds the time in which a caller sends its headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which an unused connection is closed. It
	// lies above the usual ones of balancers, which close theirs first.
	idleTimeout = 10 * time.Minute
	// maxHeaderBytes bounds the size of all headers of a request.
	maxHeaderBytes = 16 << 10
	// explanations is the number of complete, and of partial, answers kept.
	explanations = 1024
)

// Daemon is one running daemon.
type Daemon struct {
	cfg   *settings.Entryd
	clock clockwork.Clock

	tls         *tlsprovider.Provider
	bytes       bytecounter.Counter
	dialer      *dialer.Dialer
	store       storer.Store
	configs     *configs
	adopter     *adopter.Runner
	gossip      *gossiper.Runner
	placement   assigner.Holder
	admission   *admission
	quarantine  *quarantiner.Quarantiner
	keeper      *claimer.BucketWriter
	dispatcher  *dispatcher.Dispatcher
	drainer     *draintracker.Tracker
	gatherer    *gatherer.Gatherer
	coordinator *coordinator.Coordinator
	handler     *httphandler.Handler
	admin       *adminserver.Server

	peers  *grpc.Server
	web    *http.Server
	adminS *http.Server

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New assembles a daemon. Nothing runs before Start.
func New(cfg *settings.Entryd, clock clockwork.Clock) (*Daemon, error) {
	d := &Daemon{
		cfg:     cfg,
		clock:   clock,
		configs: newConfigs(clock.Now),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	var err error
	if d.tls, err = tlsprovider.New(cfg.GetSecurity(), clock); err != nil {
		return nil, err
	}
	if d.dialer, err = dialer.New(d.tls.ClientCredentials(), cfg.GetSource(), cfg.GetSecurity().GetInsecure(), &d.bytes); err != nil {
		return nil, err
	}
	if d.store, err = storer.DialEtcd(cfg.GetKv(), d.dialer.DialOptions()...); err != nil {
		return nil, eris.Wrap(err, "kv")
	}
	d.buildFleet()
	d.buildQueries()
	return d, nil
}

// buildFleet makes what daemons agree on: members, configuration, departures.
func (d *Daemon) buildFleet() {
	d.gossip = gossiper.NewRunner(gossiper.Config{
		Self: gossiper.Identity{
			ID:           d.cfg.GetId(),
			Address:      d.advertise(),
			DataCentre:   d.cfg.GetDatacentre(),
			AdminAddress: d.cfg.GetListen().GetAdmin(),
		},
		Seeds:  d.cfg.GetSeeds(),
		Source: rand.NewPCG(rand.Uint64(), rand.Uint64()),
	}, d.clock, gossiper.NewTransport(d.dialer.Dial))
	d.adopter = adopter.NewRunner(adopter.Options{
		Config: adopter.Config{
			ID:         d.cfg.GetId(),
			DataCentre: d.cfg.GetDatacentre(),
		},
		Store:  d.store,
		Fleet:  adopter.NewFleet(d.gossip),
		Puller: adopter.NewPuller(d.dialer.Dial),
		Clock:  d.clock,
	})
	d.drainer = draintracker.New(d.gossip, d.configs, d.clock)
}

// buildQueries makes the path of a query.
func (d *Daemon) buildQueries() {
	gathering, rooting := newBudgets()
	d.quarantine = quarantiner.New(quarantiner.Settings{
		Canary: true,
	})
	d.gatherer = gatherer.New(gatherer.Options{
		ID:           d.cfg.GetId(),
		Configs:      d.configs,
		DrainTracker: d.drainer,
		Dial:         d.dialer.Dial,
		Connector:    d.dialer,
		Clock:        d.clock,
		Budget:       gathering,
		Quarantine:   d.quarantine,
		OnTargetLost: d.publishQuarantine,
	})
	gathering.saturated = d.gatherer.Saturated
	d.buildMutations()
	d.coordinator = coordinator.New(coordinator.Options{
		ID:         d.cfg.GetId(),
		DataCentre: d.cfg.GetDatacentre(),
		Configs:    d.configs,
		Placement:  &d.placement,
		Gatherer:   d.gatherer,
		Dial:       d.dialer.Dial,
		Clock:      d.clock,
		Budget:     rooting,
	})
	d.admission = newAdmission(d.cfg.GetId(), d.gossip, d.clock)
	rooting.saturated = d.admission.saturated
	record := explanationkeeper.New[*httphandler.Explanation](explanations)
	d.handler = httphandler.New(httphandler.Options{
		ID:         d.cfg.GetId(),
		DataCentre: d.cfg.GetDatacentre(),
		Configs:    d.configs,
		Searcher:   d.coordinator,
		Mutator: &mutator{
			dispatcher: d.dispatcher,
		},
		Admitter:   d.admission,
		Quarantine: d.quarantine,
		Clock:      d.clock,
		Recorder:   record,
	})
	d.admin = adminserver.New(d, record)
	d.admin.Handle("GET /quarantine", d.listQuarantine)
	d.admin.Handle("DELETE /quarantine/{fingerprint}", d.clearQuarantine)
	d.configs.onChange = append(d.configs.onChange, func(ix *indexer.Index) {
		gathering.set(ix.Policy())
		d.quarantine.SetPeriod(orDefault(ix.Policy().GetQuarantine().AsDuration(), quarantiner.DefaultPeriod))
		d.admission.configure(ix.Accepted().GetConfig().GetInstitutions())
		d.gossip.SetRevision(ix.Revision())
		slog.Info("configuration in force", "revision", ix.Revision(), "change", ix.Accepted().GetHead().GetChange())
	})
}

func (d *Daemon) advertise() string {
	if a := d.cfg.GetAdvertise(); a != "" {
		return a
	}
	return d.cfg.GetListen().GetPeer()
}

// Start opens the listeners and starts the daemon's work.
func (d *Daemon) Start() error {
	d.peers = grpc.NewServer(grpc.Creds(d.tls.ServerCredentials()))
	peerserver.Register(d.peers, peerserver.Options{
		Gatherer: d.gatherer,
		Gossiper: d.gossip,
		Fetcher:  d.adopter,
		Claimer:  d.keeper,
		Mutator:  d.gatherer,
	})
	d.web = newHTTPServer(d.closing(d.handler))
	d.adminS = newHTTPServer(d.guard(d.admin))
	peerL, err := net.Listen("tcp", d.cfg.GetListen().GetPeer())
	if err != nil {
		return eris.Wrap(err, "listen.peer")
	}
	webL, err := net.Listen("tcp", d.cfg.GetListen().GetHttp())
	if err != nil {
		return eris.Wrap(err, "listen.http")
	}
	adminL, err := net.Listen("tcp", d.cfg.GetListen().GetAdmin())
	if err != nil {
		return eris.Wrap(err, "listen.admin")
	}
	d.publish()
	d.wg.Go(func() { d.failed("peer listener", d.peers.Serve(d.bytes.WrapListener(peerL))) })
	d.wg.Go(func() { d.failed("http listener", d.web.Serve(d.tls.WrapListener(webL, tlsprovider.ClientAuthNone))) })
	d.wg.Go(func() {
		d.failed("admin listener", d.adminS.Serve(d.tls.WrapListener(adminL, tlsprovider.ClientAuthOptional)))
	})
	d.wg.Go(func() { d.gossip.Run(d.ctx) })
	d.wg.Go(func() { d.adopter.Run(d.ctx) })
	d.wg.Go(func() { d.configs.follow(d.ctx, d.adopter) })
	d.wg.Go(func() { d.drainer.Run(d.ctx) })
	d.wg.Go(func() { d.place(d.ctx) })
	if l := d.newLister(); l != nil {
		d.wg.Go(func() { l.Run(d.ctx) })
	}
	d.wg.Go(func() { d.followQuarantine(d.ctx) })
	d.wg.Go(func() { d.admission.run(d.ctx) })
	d.wg.Go(func() { d.gatherer.RenewNotices(d.ctx) })
	slog.Info("started", "http", d.cfg.GetListen().GetHttp(), "peer", d.cfg.GetListen().GetPeer(), "admin", d.cfg.GetListen().GetAdmin())
	return nil
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (d *Daemon) failed(step string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		slog.Error("stopped unexpectedly", "step", step, "error", err.Error())
	}
}

// Stop ends the daemon gracefully: the balancer and the other daemons turn
// away from it first, and running work ends. What still runs when ctx ends is
// cut; the number of cut requests is returned.
func (d *Daemon) Stop(ctx context.Context) int64 {
	slog.Info("stopping")
	d.admin.Stop()
	d.gossip.Leave(ctx)
	select {
	case <-d.clock.After(lameDuckTime):
	case <-ctx.Done():
	}
	if err := d.web.Shutdown(ctx); err != nil {
		_ = d.web.Close()
	}
	cut := int64(d.dispatcher.Drain(ctx))
	d.gatherer.Drain(ctx)
	cut += d.gatherer.Running()
	d.end(ctx)
	slog.Info("stopped", "cut", cut)
	return cut
}

// end closes every listener and connection.
func (d *Daemon) end(ctx context.Context) {
	peerserver.Drain(ctx, d.peers)
	d.peers.Stop()
	d.keeper.Close()
	d.cancel()
	_ = d.adminS.Close()
	d.coordinator.Close()
	d.gatherer.Close()
	d.wg.Wait()
	d.dialer.Close()
}

// Grace returns the time allowed for Stop.
func (d *Daemon) Grace() time.Duration {
	if g := d.cfg.GetGrace().AsDuration(); g > 0 {
		return g
	}
	return defaultGrace
}
