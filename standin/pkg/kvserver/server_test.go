package kvserver

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"plantaincleat/tier/pkg/storer"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

func putOp(key, value string) *etcd.RequestOp {
	return newPutOp(&etcd.PutRequest{
		Key:   []byte(key),
		Value: []byte(value),
	})
}

func newPutOp(r *etcd.PutRequest) *etcd.RequestOp {
	return &etcd.RequestOp{
		Request: &etcd.RequestOp_RequestPut{RequestPut: r},
	}
}

func TestRevisions(t *testing.T) {
	service, _, _ := newTestServer(t)
	ctx := context.Background()
	for range 2 {
		if _, err := service.Txn(ctx, &etcd.TxnRequest{
			Success: []*etcd.RequestOp{putOp("a", "1"), putOp("b", "1")},
		}); err != nil {
			t.Fatal(err)
		}
	}
	got := service.Dump("a")[0]
	if got.CreateRevision != 2 || got.ModRevision != 3 || got.Version != 2 {
		t.Errorf("CreateRevision %d, ModRevision %d, Version %d; want 2, 3, 2", got.CreateRevision, got.ModRevision, got.Version)
	}
	if b := service.Dump("b")[0]; b.ModRevision != got.ModRevision {
		t.Errorf("items of one transaction have revisions %d and %d", b.ModRevision, got.ModRevision)
	}
	empty, err := service.Txn(ctx, &etcd.TxnRequest{
		Compare: []*etcd.Compare{{
			Target:      etcd.Compare_VERSION,
			Result:      etcd.Compare_GREATER,
			Key:         []byte("a"),
			TargetUnion: &etcd.Compare_Version{Version: 2},
		}},
		Success: []*etcd.RequestOp{putOp("a", "3")},
	})
	if err != nil || empty.Succeeded || empty.Header.Revision != 3 {
		t.Errorf("transaction whose comparison fails: %v, %v; want it not to succeed, at revision 3", empty, err)
	}
}

func TestTxnRefused(t *testing.T) {
	tests := []struct {
		name string
		ops  []*etcd.RequestOp
		want error
	}{
		{
			name: "duplicate key",
			ops:  []*etcd.RequestOp{putOp("a", "1"), putOp("a", "2")},
			want: errDuplicateKey,
		},
		{
			name: "value over 1 MB",
			ops:  []*etcd.RequestOp{putOp("a", strings.Repeat("x", maxValueBytes+1))},
			want: errTooLarge,
		},
		{
			name: "no key",
			ops:  []*etcd.RequestOp{putOp("", "1")},
			want: errEmptyKey,
		},
		{
			name: "unknown lease",
			ops: []*etcd.RequestOp{newPutOp(&etcd.PutRequest{
				Key:   []byte("a"),
				Lease: 7,
			})},
			want: errLeaseNotFound,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service, _, _ := newTestServer(t)
			_, err := service.Txn(context.Background(), &etcd.TxnRequest{Success: test.ops})
			if !errors.Is(err, test.want) {
				t.Errorf("Txn() = %v, want %v", err, test.want)
			}
			if got := service.Dump(""); len(got) != 0 {
				t.Errorf("items after the refused transaction: %v", got)
			}
		})
	}
}

func TestLeaseExpires(t *testing.T) {
	service, store, clock := newTestServer(t)
	ctx := context.Background()
	id, err := store.GrantLease(ctx, 10)
	if err != nil {
		t.Fatal(err)
	}
	result, err := store.Commit(ctx, storer.Txn{
		Writes: []storer.Write{{
			Key:     "k",
			LeaseID: id,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	watch := store.Watch(ctx, "k", result.Revision)
	clock.Advance(9 * time.Second)
	if remaining, err := store.RenewLease(ctx, id); remaining != 10 || err != nil {
		t.Fatalf("RenewLease() = %d, %v, want 10", remaining, err)
	}
	clock.Advance(9 * time.Second)
	if len(service.Dump("k")) != 1 {
		t.Fatal("key was deleted before its lease expired")
	}
	clock.Advance(time.Second)
	if e := <-watch; !e.Deleted || e.Item.Key != "k" {
		t.Errorf("event = %v, want the deletion of key k", e)
	}
	if remaining, err := store.RenewLease(ctx, id); remaining != 0 || err != nil {
		t.Errorf("RenewLease() of an expired lease = %d, %v, want 0", remaining, err)
	}
}

func TestLimitAndCounts(t *testing.T) {
	service, store, clock := newTestServer(t)
	ctx := context.Background()
	service.SetFaults(Faults{
		ReadLimit:  2,
		WriteLimit: 1,
	})
	for i := range 3 {
		_, err := store.Read(ctx, "")
		if refused := i == 2; errors.Is(err, storer.ErrUnavailable) != refused {
			t.Errorf("Read() number %d: error %v", i, err)
		}
	}
	put(t, store, "k", "1")
	if _, err := store.Commit(ctx, storer.Txn{}); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("Commit() over the limit: error %v, want ErrUnavailable", err)
	}
	clock.Advance(time.Second)
	put(t, store, "k", "2")
	watch := store.Watch(ctx, "", 0)
	<-watch
	want := Counts{
		Reads:          3,
		Writes:         3,
		WatchesCreated: 1,
		OpenWatches:    1,
		Refused:        2,
	}
	if got := service.Counts(); got != want {
		t.Errorf("counts = %+v, want %+v", got, want)
	}
}

func TestMuteWatches(t *testing.T) {
	service, store, _ := newTestServer(t)
	service.SetFaults(Faults{MuteWatches: true})
	watch := store.Watch(context.Background(), "", 0)
	put(t, store, "k", "1")
	select {
	case e := <-watch:
		t.Fatalf("event while watches are muted: %v", e)
	default:
	}
	service.SetFaults(Faults{})
	if e := <-watch; e.Item.Key != "k" {
		t.Errorf("event = %v, want the write of key k", e)
	}
}

func TestOutagePrefixes(t *testing.T) {
	f := Faults{
		Outage:         true,
		OutagePrefixes: []string{"127.0.1."},
	}
	if !f.refuses("127.0.1.5") || f.refuses("127.0.2.5") {
		t.Error("outage does not apply to exactly the callers with the prefix")
	}
}

func TestAdmin(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		code                     int
		want                     string
	}{
		{
			name:   "set",
			method: "POST",
			path:   "/faults",
			body:   `{"delay":"50ms","lost":2}`,
			code:   200,
			want:   `"delay":"50ms","lost":2`,
		},
		{
			name:   "unknown field",
			method: "POST",
			path:   "/faults",
			body:   `{"outrage":true}`,
			code:   400,
			want:   `unknown field "outrage"`,
		},
		{
			name:   "bad duration",
			method: "POST",
			path:   "/faults",
			body:   `{"delay":"-1s"}`,
			code:   400,
			want:   `bad value "-1s"`,
		},
		{
			name:   "counts",
			method: "GET",
			path:   "/counts",
			code:   200,
			want:   `"writes":1`,
		},
		{
			name:   "dump",
			method: "GET",
			path:   "/dump?prefix=k",
			code:   200,
			want:   `"key":"k","value":"MQ=="`,
		},
	}
	service, store, _ := newTestServer(t)
	put(t, store, "k", "1")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			service.Admin().ServeHTTP(w, r)
			body, err := io.ReadAll(w.Result().Body)
			if err != nil {
				t.Fatal(err)
			}
			if w.Code != test.code || !strings.Contains(string(body), test.want) {
				t.Errorf("answer has status %d and body %s", w.Code, body)
			}
		})
	}
}
