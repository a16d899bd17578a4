package kvserver

import (
	"bytes"
	"maps"
	"slices"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

// keySpace holds the items of one revision and their keys in order. Revisions share items,
// which are therefore never changed in place.
type keySpace struct {
	items map[string]*etcd.KeyValue
	keys  []string
}

func (s *keySpace) clone() keySpace {
	return keySpace{
		items: maps.Clone(s.items),
		keys:  slices.Clone(s.keys),
	}
}

func (s *keySpace) set(kv *etcd.KeyValue) {
	key := string(kv.Key)
	if i, found := slices.BinarySearch(s.keys, key); !found {
		s.keys = slices.Insert(s.keys, i, key)
	}
	s.items[key] = kv
}

func (s *keySpace) remove(key string) {
	if i, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
	delete(s.items, key)
}

// find evaluates a range request. revision is that of the key space and goes into the
// header of the response.
func (s *keySpace) find(revision int64, r *etcd.RangeRequest) *etcd.RangeResponse {
	found := s.itemsInRange(r.GetKey(), r.GetRangeEnd())
	response := &etcd.RangeResponse{
		Header: &etcd.ResponseHeader{Revision: revision},
		Count:  int64(len(found)),
	}
	if r.GetCountOnly() {
		return response
	}
	if n := r.GetLimit(); n > 0 && int64(len(found)) > n {
		found = found[:n]
		response.More = true
	}
	response.Kvs = found
	if r.GetKeysOnly() {
		response.Kvs = withoutValues(found)
	}
	return response
}

// itemsInRange returns the items of a range in the order of their keys.
func (s *keySpace) itemsInRange(key, end []byte) []*etcd.KeyValue {
	var found []*etcd.KeyValue
	first, _ := slices.BinarySearch(s.keys, string(key))
	for _, k := range s.keys[first:] {
		if !inRange([]byte(k), key, end) {
			break
		}
		found = append(found, s.items[k])
	}
	return found
}

func withoutValues(kvs []*etcd.KeyValue) []*etcd.KeyValue {
	stripped := make([]*etcd.KeyValue, 0, len(kvs))
	for _, kv := range kvs {
		stripped = append(stripped, &etcd.KeyValue{
			Key:            kv.Key,
			CreateRevision: kv.CreateRevision,
			ModRevision:    kv.ModRevision,
			Version:        kv.Version,
			Lease:          kv.Lease,
		})
	}
	return stripped
}

// inRange reports whether k is in the range from key to end, excluding end. As in the etcd
// API, an empty end means key alone, and an end of one zero byte means all keys from key
// on.
func inRange(k, key, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(k, key)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(k, key) >= 0
	default:
		return bytes.Compare(k, key) >= 0 && bytes.Compare(k, end) < 0
	}
}
