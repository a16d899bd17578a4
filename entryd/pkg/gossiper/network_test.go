package gossiper

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
)

var errNoReply = errors.New("no answer")

// latency is the one-way delay of every message.
const latency = 2 * time.Millisecond

type event struct {
	at  time.Time
	seq int
	to  *node
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int      { return len(e) }
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is one machine in the simulated network.
type node struct {
	m        *Machine
	cfg      Config
	stopped  bool
	frozen   bool
	delayed  []func()
	nextTick time.Time
	sent     int
	bytes    int
}

// network delivers the messages of many machines in simulated time. The order
// of events is deterministic.
type network struct {
	now         time.Time
	queue       eventQueue
	seq         int
	nodes       map[string]*node
	order       []*node
	partitioned func(from, to Identity) bool
	// unreachableID is the id of a daemon that can send requests but does not
	// receive any.
	unreachableID string
	// drop reports whether the next message is lost.
	drop          func() bool
	measuresBytes bool
}

func newNetwork() *network {
	return &network{
		now:         time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		nodes:       make(map[string]*node),
		partitioned: func(_, _ Identity) bool { return false },
		drop:        func() bool { return false },
	}
}

// fleet starts the given number of hosts in each of dcs data centres. The first
// daemon of each data centre is a seed of all daemons. edit may change the
// configuration of each.
func fleet(dcs, hosts int, edit func(*Config)) *network {
	w := newNetwork()
	for i := range hosts {
		for dc := range dcs {
			cfg := Config{
				Self: Identity{
					ID:         fmt.Sprintf("d%d-%03d", dc, i),
					Address:    fmt.Sprintf("10.%d.0.%d:7000", dc, i),
					DataCentre: fmt.Sprintf("dc%d", dc),
				},
				Source: rand.NewPCG(uint64(dc), uint64(i)),
			}
			for s := range dcs {
				cfg.Seeds = append(cfg.Seeds, fmt.Sprintf("10.%d.0.0:7000", s))
			}
			if edit != nil {
				edit(&cfg)
			}
			w.startNode(cfg)
		}
	}
	return w
}

func (w *network) startNode(cfg Config) *node {
	n := w.nodes[cfg.Self.Address]
	if n == nil {
		n = &node{}
		w.nodes[cfg.Self.Address] = n
		w.order = append(w.order, n)
	}
	*n = node{
		m:   New(cfg, w.now),
		cfg: cfg,
	}
	w.scheduleTick(n)
	return n
}

func (w *network) schedule(d time.Duration, to *node, run func()) {
	w.seq++
	heap.Push(&w.queue, event{
		at:  w.now.Add(d),
		seq: w.seq,
		to:  to,
		run: run,
	})
}

// scheduleTick schedules the next tick of a node unless one is already
// scheduled for that time or earlier.
func (w *network) scheduleTick(n *node) {
	next := n.m.Next()
	if n.nextTick.After(w.now) && !next.Before(n.nextTick) {
		return
	}
	n.nextTick = next
	m := n.m
	w.schedule(max(0, next.Sub(w.now)), n, func() {
		if n.m == m && !w.now.Before(m.Next()) {
			w.send(n, m.Tick(w.now))
		}
	})
}

func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		switch {
		case e.to.stopped:
		case e.to.frozen:
			e.to.delayed = append(e.to.delayed, e.run)
		default:
			e.run()
			w.scheduleTick(e.to)
		}
	}
	w.now = end
}

func (w *network) unfreeze(n *node) {
	n.frozen = false
	for _, run := range n.delayed {
		run()
	}
	n.delayed = nil
	w.scheduleTick(n)
}

// repair unfreezes or restarts a node.
func (w *network) repair(n *node) {
	if n.frozen {
		w.unfreeze(n)
	}
	if n.stopped {
		w.startNode(n.cfg)
	}
}

func (w *network) delivers(from, to *node) bool {
	return to != nil && !to.stopped && !to.frozen && !w.partitioned(from.cfg.Self, to.cfg.Self) && !w.drop()
}

func (w *network) count(n *node, v *peer.Views) *peer.Views {
	if w.measuresBytes {
		n.sent++
		n.bytes += proto.Size(v)
	}
	return v
}

func (w *network) send(n *node, actions []Action) {
	for _, a := range actions {
		to := w.nodes[a.Address()]
		m := n.m
		if a.Kind() == KindProbe {
			w.probe(n, to, w.nodes[a.ProbeAddress()], a.ID())
			continue
		}
		w.count(n, a.Views())
		fail := func() { w.send(n, m.HandleReply(w.now, a.ID(), nil, errNoReply)) }
		if !w.delivers(n, to) || to.cfg.Self.ID == w.unreachableID {
			w.schedule(exchangeTimeout, n, fail)
			continue
		}
		w.schedule(latency, to, func() {
			reply := w.count(to, to.m.HandleRequest(w.now, a.Views()))
			if !w.delivers(to, n) {
				w.schedule(exchangeTimeout, n, fail)
				return
			}
			w.schedule(latency, n, func() { w.send(n, m.HandleReply(w.now, a.ID(), reply, nil)) })
		})
	}
}

func (w *network) probe(n, via, probed *node, id uint64) {
	m := n.m
	alive := w.delivers(n, via) && w.delivers(via, n) && w.delivers(via, probed) && w.delivers(probed, via) &&
		probed.cfg.Self.ID != w.unreachableID
	w.schedule(exchangeTimeout, n, func() { w.send(n, m.HandleIndirectProbe(w.now, id, alive)) })
}

// state returns the state of the member with the given id in the view of n.
func (n *node) state(id string) peer.State {
	m, _ := n.m.View().Lookup(id)
	return m.State()
}

// alive returns the number of live members in the view of n.
func (n *node) alive() int {
	count := 0
	for _, m := range n.m.View().Members() {
		if m.Live() {
			count++
		}
	}
	return count
}

// requireAlive reports an error for each running node that does not see want
// live members.
func (w *network) requireAlive(t *testing.T, want int) {
	t.Helper()
	for _, n := range w.order {
		if got := n.alive(); !n.stopped && got != want {
			t.Errorf("%s sees %d live members, want %d", n.cfg.Self.ID, got, want)
		}
	}
}

// runUntil runs the network until ok holds for all running nodes, at most for
// limit. It returns the simulated time that this took, and false if limit was
// reached.
func (w *network) runUntil(limit time.Duration, ok func(*node) bool) (time.Duration, bool) {
	start := w.now
	for w.now.Sub(start) < limit {
		done := true
		for _, n := range w.order {
			done = done && (n.stopped || n.frozen || ok(n))
		}
		if done {
			return w.now.Sub(start), true
		}
		w.run(10 * time.Millisecond)
	}
	return limit, false
}
