package kvserver

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"plantaincleat/tier/pkg/storer"
)

// storeFixture is a Store and functions that simulate faults of the service behind it.
type storeFixture struct {
	store          storer.Store
	setUnavailable func(bool)
	loseAnswers    func(int)
	delayWrites    func(int)
	applyDelayed   func()
	setStaleReads  func(bool)
	compact        func()
}

// newTestServer returns a Server, a client that is connected to it over loopback, and its
// fake clock.
func newTestServer(t *testing.T) (*Server, *storer.Etcd, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	service := New(clock)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer(ServerOptions()...)
	service.Register(g)
	go g.Serve(l)
	t.Cleanup(g.Stop)
	store, err := storer.DialEtcd([]string{l.Addr().String()},
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return service, store, clock
}

func storeFixtures(t *testing.T) map[string]storeFixture {
	memory := &storer.Memory{}
	service, store, clock := newTestServer(t)
	return map[string]storeFixture{
		"memory": {
			store:          memory,
			setUnavailable: memory.SetUnavailable,
			loseAnswers:    memory.LoseAnswers,
			delayWrites:    memory.DelayWrites,
			applyDelayed:   func() { memory.ApplyDelayed() },
			setStaleReads:  memory.SetStale,
			compact:        memory.Compact,
		},
		"etcd": {
			store:          store,
			setUnavailable: func(on bool) { service.SetFaults(Faults{Outage: on}) },
			loseAnswers:    func(n int) { service.SetFaults(Faults{LoseAnswers: int64(n)}) },
			delayWrites: func(n int) {
				service.SetFaults(Faults{
					DelayWrites: int64(n),
					WriteDelay:  Duration(1),
				})
			},
			applyDelayed: func() {
				clock.Advance(1)
				// The fake clock calls the function of AfterFunc in another goroutine.
				for len(service.Dump("late")) == 0 {
				}
			},
			setStaleReads: func(on bool) { service.SetFaults(Faults{StaleReads: on}) },
			compact:       func() { service.Compact(service.store.currentRevision()) },
		},
	}
}

// put writes one item unconditionally.
func put(t *testing.T, s storer.Store, key, value string) storer.Result {
	t.Helper()
	result, err := s.Commit(context.Background(), storer.Txn{
		Writes: []storer.Write{{
			Key:   key,
			Value: []byte(value),
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestConformance(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, r storeFixture)
	}{
		{name: "read", run: testRead},
		{name: "conditions", run: testConditions},
		{name: "outage", run: testOutage},
		{name: "lost answer", run: testLostAnswer},
		{name: "late write", run: testLateWrite},
		{name: "stale read", run: testStaleRead},
		{name: "watch", run: testWatch},
		{name: "watch compacted", run: testWatchCompacted},
		{name: "lease", run: testLease},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for name, r := range storeFixtures(t) {
				t.Run(name, func(t *testing.T) { test.run(t, r) })
			}
		})
	}
}

func testRead(t *testing.T, r storeFixture) {
	put(t, r.store, "a/2", "x")
	put(t, r.store, "b/1", "y")
	put(t, r.store, "a/1", "z")
	last := put(t, r.store, "a/2", "w")
	page, err := r.store.Read(context.Background(), "a/")
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Items) != 2 || page.Items[0].Key != "a/1" || string(page.Items[1].Value) != "w" {
		t.Fatalf("Read() = %v, want a/1 and a/2 with the values z and w", page.Items)
	}
	if page.Revision != last.Revision {
		t.Errorf("revision of the page = %d, want %d, that of the last write", page.Revision, last.Revision)
	}
	if got := page.Items[1]; got.ModRevision != last.Revision || got.CreateRevision >= got.ModRevision {
		t.Errorf("CreateRevision = %d, ModRevision = %d, want the revisions of the first and the last write of a/2", got.CreateRevision, got.ModRevision)
	}
	if _, found, err := r.store.Get(context.Background(), "a/3"); found || err != nil {
		t.Errorf("Get() of a missing key: found %v, error %v", found, err)
	}
}

func testConditions(t *testing.T, r storeFixture) {
	create := storer.Txn{
		Conditions: []storer.Condition{{Key: "k"}},
		Writes: []storer.Write{
			{
				Key:   "k",
				Value: []byte("1"),
			},
			{
				Key:   "l",
				Value: []byte("1"),
			},
		},
	}
	first, err := r.store.Commit(context.Background(), create)
	if err != nil || !first.Applied {
		t.Fatalf("first create: %v, %v; want it applied", first, err)
	}
	second, err := r.store.Commit(context.Background(), create)
	if err != nil || second.Applied {
		t.Fatalf("second create: %v, %v; want it not applied", second, err)
	}
	remove := storer.Txn{
		Conditions: []storer.Condition{{
			Key:         "k",
			ModRevision: first.Revision,
		}},
		Writes: []storer.Write{{
			Key:    "l",
			Delete: true,
		}},
	}
	if got, err := r.store.Commit(context.Background(), remove); err != nil || !got.Applied {
		t.Fatalf("removal: %v, %v; want it applied", got, err)
	}
	if _, found, _ := r.store.Get(context.Background(), "l"); found {
		t.Error("l was not deleted")
	}
}

func testOutage(t *testing.T, r storeFixture) {
	put(t, r.store, "k", "1")
	watch := r.store.Watch(context.Background(), "k", 0)
	if event := <-watch; event.Err != nil {
		t.Fatal(event.Err)
	}
	r.setUnavailable(true)
	if event := <-watch; !errors.Is(event.Err, storer.ErrUnavailable) {
		t.Errorf("watch during the outage: event error %v, want ErrUnavailable", event.Err)
	}
	if _, ok := <-watch; ok {
		t.Error("watch channel is open after the error")
	}
	if _, err := r.store.Read(context.Background(), ""); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("Read() during the outage: error %v, want ErrUnavailable", err)
	}
	txn := storer.Txn{
		Writes: []storer.Write{{
			Key:    "k",
			Delete: true,
		}},
	}
	if _, err := r.store.Commit(context.Background(), txn); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("Commit() during the outage: error %v, want ErrUnavailable", err)
	}
	r.setUnavailable(false)
	if _, found, err := r.store.Get(context.Background(), "k"); !found || err != nil {
		t.Errorf("Get() after the outage: found %v, error %v", found, err)
	}
}

func testLostAnswer(t *testing.T, r storeFixture) {
	r.loseAnswers(1)
	txn := storer.Txn{
		Writes: []storer.Write{{
			Key:   "k",
			Value: []byte("1"),
		}},
	}
	if _, err := r.store.Commit(context.Background(), txn); !errors.Is(err, storer.ErrUnknownOutcome) {
		t.Fatalf("Commit() = %v, want ErrUnknownOutcome", err)
	}
	if _, found, err := r.store.Get(context.Background(), "k"); !found || err != nil {
		t.Errorf("Get() after the write: found %v, error %v", found, err)
	}
	put(t, r.store, "k", "2")
}

func testLateWrite(t *testing.T, r storeFixture) {
	r.delayWrites(1)
	txn := storer.Txn{
		Conditions: []storer.Condition{{Key: "late"}},
		Writes: []storer.Write{{
			Key:   "late",
			Value: []byte("1"),
		}},
	}
	if _, err := r.store.Commit(context.Background(), txn); !errors.Is(err, storer.ErrUnknownOutcome) {
		t.Fatalf("Commit() = %v, want ErrUnknownOutcome", err)
	}
	if _, found, _ := r.store.Get(context.Background(), "late"); found {
		t.Error("delayed write took effect at once")
	}
	r.applyDelayed()
	if _, found, _ := r.store.Get(context.Background(), "late"); !found {
		t.Error("delayed write did not take effect")
	}
}

func testStaleRead(t *testing.T, r storeFixture) {
	put(t, r.store, "k", "1")
	r.setStaleReads(true)
	put(t, r.store, "k", "2")
	if item, _, _ := r.store.Get(context.Background(), "k"); string(item.Value) != "1" {
		t.Errorf("value during stale reads = %q, want 1", item.Value)
	}
	r.setStaleReads(false)
	if item, _, _ := r.store.Get(context.Background(), "k"); string(item.Value) != "2" {
		t.Errorf("value after stale reads = %q, want 2", item.Value)
	}
}

func testWatch(t *testing.T, r storeFixture) {
	first := put(t, r.store, "a/1", "1")
	put(t, r.store, "b/1", "2")
	put(t, r.store, "a/2", "3")
	ctx, cancel := context.WithCancel(context.Background())
	watch := r.store.Watch(ctx, "a/", first.Revision)
	if e := <-watch; e.Item.Key != "a/2" || string(e.Item.Value) != "3" {
		t.Errorf("event from the history: %v, want a/2 with value 3", e)
	}
	txn := storer.Txn{
		Writes: []storer.Write{{
			Key:    "a/1",
			Delete: true,
		}},
	}
	if _, err := r.store.Commit(ctx, txn); err != nil {
		t.Fatal(err)
	}
	if e := <-watch; e.Item.Key != "a/1" || !e.Deleted {
		t.Errorf("event of the deletion: %v, want deletion of a/1", e)
	}
	cancel()
	if e, ok := <-watch; ok {
		t.Errorf("event after the context ended: %v", e)
	}
}

func testWatchCompacted(t *testing.T, r storeFixture) {
	first := put(t, r.store, "k", "1")
	put(t, r.store, "k", "2")
	r.compact()
	watch := r.store.Watch(context.Background(), "k", first.Revision)
	if e := <-watch; !errors.Is(e.Err, storer.ErrCompacted) {
		t.Errorf("Watch() from a compacted revision: error %v, want ErrCompacted", e.Err)
	}
}

func testLease(t *testing.T, r storeFixture) {
	ctx := context.Background()
	id, err := r.store.GrantLease(ctx, 10)
	if err != nil {
		t.Fatal(err)
	}
	txn := storer.Txn{
		Writes: []storer.Write{{
			Key:     "k",
			Value:   []byte("1"),
			LeaseID: id,
		}},
	}
	if _, err := r.store.Commit(ctx, txn); err != nil {
		t.Fatal(err)
	}
	if remaining, err := r.store.RenewLease(ctx, id); remaining == 0 || err != nil {
		t.Errorf("RenewLease() = %d, %v, want a positive time to live", remaining, err)
	}
	if err := r.store.RevokeLease(ctx, id); err != nil {
		t.Fatal(err)
	}
	if _, found, _ := r.store.Get(ctx, "k"); found {
		t.Error("key exists after its lease was revoked")
	}
	if remaining, err := r.store.RenewLease(ctx, id); remaining != 0 || err != nil {
		t.Errorf("RenewLease() of a revoked lease = %d, %v, want 0", remaining, err)
	}
}
