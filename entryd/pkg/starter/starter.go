// Package starter assembles a daemon from its settings, runs it and stops it.
package starter

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
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
	"plantaincleat/entryd/pkg/crashtracker"
	"plantaincleat/entryd/pkg/dialer"
	"plantaincleat/entryd/pkg/dispatcher"
	"plantaincleat/entryd/pkg/draintracker"
	"plantaincleat/entryd/pkg/explanationkeeper"
	"plantaincleat/entryd/pkg/gatekeeper"
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
	// defaultGrace is the default time allowed for a graceful stop.
	defaultGrace = 30 * time.Second
	// lameDuckTime is the time between the failure of the readiness check and the
	// closing of the listener, in which load balancers stop sending callers.
	lameDuckTime = time.Second
	// readHeaderTimeout bounds the time within which a caller must send the
	// headers of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed. It is
	// longer than the usual timeouts of load balancers, so that they close their
	// connections first.
	idleTimeout = 10 * time.Minute
	// maxHeaderBytes bounds the total size of the headers of a request.
	maxHeaderBytes = 16 << 10
	// maxExplanations is the number of explanations of complete answers that are
	// kept, and also that of partial answers.
	maxExplanations = 1024
)

// Daemon is one entryd daemon.
type Daemon struct {
	cfg   *settings.Entryd
	clock clockwork.Clock

	tls          *tlsprovider.Provider
	peerBytes    bytecounter.Counter
	dialer       *dialer.Dialer
	store        storer.Store
	configs      *configs
	adopter      *adopter.Runner
	gossip       *gossiper.Runner
	placement    assigner.Holder
	admission    *admission
	quarantine   *quarantiner.Quarantiner
	crashes      crashtracker.Tracker
	bucketWriter *claimer.BucketWriter
	dispatcher   *dispatcher.Dispatcher
	drainTracker *draintracker.Tracker
	gatherer     *gatherer.Gatherer
	coordinator  *coordinator.Coordinator
	handler      *httphandler.Handler
	adminHandler *adminserver.Server

	peerServer   *grpc.Server
	callerServer *http.Server
	adminServer  *http.Server

	keepers keepers

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// keepers guard the listeners of a daemon.
type keepers struct {
	callers, peers, admin *gatekeeper.Keeper
}

// New assembles a daemon from its settings. It starts to work with Start.
func New(cfg *settings.Entryd, clock clockwork.Clock) (*Daemon, error) {
	d := &Daemon{
		cfg:     cfg,
		clock:   clock,
		configs: newConfigs(clock.Now),
		keepers: keepers{
			callers: gatekeeper.ForCallers(cfg, clock, nil),
			peers:   gatekeeper.ForPeers(cfg, clock),
			admin:   gatekeeper.ForOperators(cfg, clock),
		},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	var err error
	if d.tls, err = tlsprovider.New(cfg.GetSecurity(), clock); err != nil {
		return nil, err
	}
	if d.dialer, err = dialer.New(d.tls.ClientCredentials(), cfg.GetSource(), cfg.GetSecurity().GetInsecure(), &d.peerBytes); err != nil {
		return nil, err
	}
	if d.store, err = storer.DialEtcd(cfg.GetKv(), d.dialer.DialOptions()...); err != nil {
		return nil, eris.Wrap(err, "kv: connect to the store")
	}
	d.buildFleet()
	d.buildQueries()
	return d, nil
}

// buildFleet creates the components that exchange state with the other daemons:
// membership, configuration and draining targets.
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
	d.drainTracker = draintracker.New(d.gossip, d.configs, d.clock)
}

// buildQueries creates the components that execute searches and mutations, the handler
// for callers and the handler for operators.
func (d *Daemon) buildQueries() {
	gathererBudget, rootBudget := newBudgets()
	d.quarantine = quarantiner.New(quarantiner.Settings{
		Canary: true,
	})
	d.gatherer = gatherer.New(gatherer.Options{
		ID:           d.cfg.GetId(),
		Configs:      d.configs,
		DrainTracker: d.drainTracker,
		Dial:         d.dialer.Dial,
		Connector:    d.dialer,
		Clock:        d.clock,
		Budget:       gathererBudget,
		Quarantine:   d.quarantine,
		OnTargetLost: d.publishQuarantine,
	})
	gathererBudget.saturated = d.gatherer.Saturated
	d.buildMutations()
	d.coordinator = coordinator.New(coordinator.Options{
		ID:         d.cfg.GetId(),
		DataCentre: d.cfg.GetDatacentre(),
		Configs:    d.configs,
		Placement:  &d.placement,
		Gatherer:   d.gatherer,
		Dial:       d.dialer.Dial,
		Clock:      d.clock,
		Budget:     rootBudget,
	})
	d.admission = newAdmission(d.cfg.GetId(), d.gossip, d.clock)
	rootBudget.saturated = d.admission.saturated
	explanations := explanationkeeper.New[*httphandler.Explanation](maxExplanations)
	d.handler = httphandler.New(httphandler.Options{
		ID:         d.cfg.GetId(),
		DataCentre: d.cfg.GetDatacentre(),
		Configs:    d.configs,
		Searcher:   d.coordinator,
		Mutator: &mutator{
			dispatcher: d.dispatcher,
			crashes:    &d.crashes,
			clock:      d.clock,
		},
		Admitter:     d.admission,
		Quarantine:   d.quarantine,
		Clock:        d.clock,
		Explanations: explanations,
	})
	d.adminHandler = adminserver.New(d, explanations)
	d.adminHandler.Handle("GET /quarantine", d.listQuarantine)
	d.adminHandler.Handle("DELETE /quarantine/{fingerprint}", d.clearQuarantine)
	d.configs.onChange = append(d.configs.onChange, func(ix *indexer.Index) {
		gathererBudget.set(ix.Policy())
		d.quarantine.SetPeriod(orDefault(ix.Policy().GetQuarantine().AsDuration(), quarantiner.DefaultPeriod))
		d.admission.configure(ix.Accepted().GetConfig().GetInstitutions())
		d.gossip.SetRevision(ix.Revision())
		slog.Info("configuration in force", "revision", ix.Revision(), "change", ix.Accepted().GetHead().GetChange())
	})
}

// advertise returns the address under which other daemons reach this one.
func (d *Daemon) advertise() string {
	if a := d.cfg.GetAdvertise(); a != "" {
		return a
	}
	return d.cfg.GetListen().GetPeer()
}

// Start opens the listeners and starts the daemon's goroutines.
func (d *Daemon) Start() error {
	d.peerServer = peerserver.NewServer(grpc.Creds(d.tls.ServerCredentials()))
	peerserver.Register(d.peerServer, peerserver.Options{
		Gatherer: d.gatherer,
		Gossiper: d.gossip,
		Fetcher:  d.adopter,
		Claimer:  d.bucketWriter,
		Mutator:  d.gatherer,
	})
	d.callerServer = newHTTPServer(d.closeWhileStopping(d.handler), d.keepers.callers)
	d.adminServer = newHTTPServer(d.requireClientCertificate(d.adminHandler), d.keepers.admin)
	peerL, err := d.keepers.peers.Listen("listen.peer", d.cfg.GetListen().GetPeer())
	if err != nil {
		return err
	}
	callerL, err := d.keepers.callers.Listen("listen.http", d.cfg.GetListen().GetHttp())
	if err != nil {
		return err
	}
	adminL, err := d.keepers.admin.Listen("listen.admin", d.cfg.GetListen().GetAdmin())
	if err != nil {
		return err
	}
	d.publishMetrics()
	d.wg.Go(func() { d.logUnexpectedStop("peer listener", d.peerServer.Serve(d.peerBytes.WrapListener(peerL))) })
	d.wg.Go(func() {
		d.logUnexpectedStop("http listener", d.callerServer.Serve(d.tls.WrapListener(callerL, tlsprovider.ClientAuthNone)))
	})
	d.wg.Go(func() {
		d.logUnexpectedStop("admin listener", d.adminServer.Serve(d.tls.WrapListener(adminL, tlsprovider.ClientAuthOptional)))
	})
	d.wg.Go(func() { d.gossip.Run(d.ctx) })
	d.wg.Go(func() { d.adopter.Run(d.ctx) })
	d.wg.Go(func() { d.configs.follow(d.ctx, d.adopter) })
	d.wg.Go(func() { d.drainTracker.Run(d.ctx) })
	d.wg.Go(func() { d.followPlacement(d.ctx) })
	if watcher := d.newHostWatcher(); watcher != nil {
		d.wg.Go(func() { watcher.Run(d.ctx) })
	}
	d.wg.Go(func() { d.followQuarantine(d.ctx) })
	d.wg.Go(func() { d.admission.run(d.ctx) })
	d.wg.Go(func() { d.gatherer.RenewNotices(d.ctx) })
	slog.Info("started", "http", d.cfg.GetListen().GetHttp(), "peer", d.cfg.GetListen().GetPeer(), "admin", d.cfg.GetListen().GetAdmin())
	return nil
}

// newHTTPServer returns a server behind a keeper.
func newHTTPServer(h http.Handler, keeper *gatekeeper.Keeper) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	keeper.Guard(s)
	return s
}

// logUnexpectedStop logs the error with which a server has ended, unless it was closed.
func (d *Daemon) logUnexpectedStop(step string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		slog.Error("server stopped unexpectedly: serving its listener failed", "step", step, "err", err.Error())
	}
}

// Stop stops the daemon gracefully. It first makes load balancers and the other daemons
// stop sending requests, then waits for the running requests. Requests that still run
// when ctx is done are aborted; Stop returns their number.
func (d *Daemon) Stop(ctx context.Context) int64 {
	slog.Info("stopping: readiness fails and running requests are drained")
	d.adminHandler.Stop()
	d.gossip.Leave(ctx)
	select {
	case <-d.clock.After(lameDuckTime):
	case <-ctx.Done():
	}
	if err := d.callerServer.Shutdown(ctx); err != nil {
		_ = d.callerServer.Close()
	}
	aborted := int64(d.dispatcher.Drain(ctx))
	d.gatherer.Drain(ctx)
	aborted += d.gatherer.Running()
	d.closeAll(ctx)
	slog.Info("stopped: all listeners and connections are closed", "cut", aborted)
	return aborted
}

// closeAll waits for the running calls of peers until ctx is done. It then closes all
// listeners and connections, and waits for the daemon's goroutines.
func (d *Daemon) closeAll(ctx context.Context) {
	peerserver.Drain(ctx, d.peerServer)
	d.peerServer.Stop()
	d.bucketWriter.Close()
	d.cancel()
	_ = d.adminServer.Close()
	d.coordinator.Close()
	d.gatherer.Close()
	d.wg.Wait()
	d.dialer.Close()
}

// GracePeriod returns the time allowed for Stop.
func (d *Daemon) GracePeriod() time.Duration {
	if g := d.cfg.GetGrace().AsDuration(); g > 0 {
		return g
	}
	return defaultGrace
}
