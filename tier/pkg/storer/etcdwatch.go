package storer

import (
	"context"

	"github.com/rotisserie/eris"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

// Watch implements Store.
func (e *Etcd) Watch(ctx context.Context, prefix string, after int64) <-chan Event {
	events := make(chan Event)
	go func() {
		defer close(events)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		err := e.streamEvents(ctx, prefix, after, events)
		if err != nil && ctx.Err() == nil {
			emit(ctx, events, Event{Err: err})
		}
	}()
	return events
}

// streamEvents opens a watch and sends its changes to events. It returns nil when
// ctx ends and an error when the watch fails.
func (e *Etcd) streamEvents(ctx context.Context, prefix string, after int64, events chan<- Event) error {
	stream, err := e.watch.Watch(requireLeader(ctx))
	if err == nil {
		err = stream.Send(&etcd.WatchRequest{
			RequestUnion: &etcd.WatchRequest_CreateRequest{
				CreateRequest: &etcd.WatchCreateRequest{
					Key:           []byte(prefix),
					RangeEnd:      prefixEnd(prefix),
					StartRevision: after + 1,
				},
			},
		})
	}
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "watch %q: peer %s: %v", prefix, e.addresses, err)
	}
	for {
		r, err := stream.Recv()
		switch {
		case err != nil:
			return eris.Wrapf(ErrUnavailable, "watch %q: peer %s: %v", prefix, e.addresses, err)
		case r.CompactRevision > 0:
			return eris.Wrapf(ErrCompacted, "watch %q: peer %s: revisions before %d", prefix, e.addresses, r.CompactRevision)
		case r.Canceled:
			return eris.Wrapf(ErrUnavailable, "watch %q: peer %s: %s", prefix, e.addresses, r.CancelReason)
		}
		for _, change := range r.Events {
			event := Event{
				Item:    newItem(change.Kv),
				Deleted: change.Type == etcd.Event_DELETE,
			}
			if !emit(ctx, events, event) {
				return nil
			}
		}
	}
}

// emit sends an event. It returns false if ctx ends first.
func emit(ctx context.Context, events chan<- Event, event Event) bool {
	select {
	case events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
