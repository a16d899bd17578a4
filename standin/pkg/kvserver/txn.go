package kvserver

import (
	"bytes"
	"cmp"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

const (
	// maxValueBytes is the size in bytes of the largest value that is stored.
	maxValueBytes = 1 << 20
	// maxTxnOps is the number of operations in the largest transaction.
	maxTxnOps = 128
)

// Errors of calls that are not executed, with the messages of etcd.
var (
	errTooLarge        = status.Error(codes.InvalidArgument, "etcdserver: request is too large")
	errTooManyOps      = status.Error(codes.InvalidArgument, "etcdserver: too many operations in txn request")
	errDuplicateKey    = status.Error(codes.InvalidArgument, "etcdserver: duplicate key given in txn request")
	errEmptyKey        = status.Error(codes.InvalidArgument, "etcdserver: key is not provided")
	errLeaseNotFound   = status.Error(codes.NotFound, "etcdserver: requested lease not found")
	errLeaseExists     = status.Error(codes.FailedPrecondition, "etcdserver: lease already exists")
	errNoLeader        = status.Error(codes.Unavailable, "etcdserver: no leader")
	errTooManyRequests = status.Error(codes.ResourceExhausted, "etcdserver: too many requests")
	errFutureRevision  = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision is a future revision")
	errCompacted       = status.Error(codes.OutOfRange, "etcdserver: mvcc: required revision has been compacted")
)

// errTimeout is an error after which a write may have taken effect or may still do so. Its
// message is that of etcd.
var errTimeout = status.Error(codes.Unavailable, "etcdserver: request timed out")

// checkTxn returns the error with which etcd refuses a transaction, or nil.
func checkTxn(r *etcd.TxnRequest) error {
	if max(len(r.Compare), len(r.Success), len(r.Failure)) > maxTxnOps {
		return errTooManyOps
	}
	for _, ops := range [][]*etcd.RequestOp{r.Success, r.Failure} {
		if err := checkOps(ops); err != nil {
			return err
		}
	}
	return nil
}

func checkOps(ops []*etcd.RequestOp) error {
	puts := map[string]bool{}
	for _, op := range ops {
		p := op.GetRequestPut()
		if p == nil {
			continue
		}
		switch {
		case len(p.Key) == 0:
			return errEmptyKey
		case len(p.Value) > maxValueBytes:
			return errTooLarge
		case puts[string(p.Key)]:
			return errDuplicateKey
		}
		puts[string(p.Key)] = true
	}
	for _, op := range ops {
		d := op.GetRequestDeleteRange()
		if d == nil {
			continue
		}
		for key := range puts {
			if inRange([]byte(key), d.Key, d.RangeEnd) {
				return errDuplicateKey
			}
		}
	}
	return nil
}

// compareHolds reports whether a comparison holds for kv, which is nil if the key does not
// exist.
func compareHolds(c *etcd.Compare, kv *etcd.KeyValue) bool {
	if kv == nil {
		if c.Target == etcd.Compare_VALUE {
			return false
		}
		kv = &etcd.KeyValue{}
	}
	order := 0
	switch c.Target {
	case etcd.Compare_VERSION:
		order = cmp.Compare(kv.Version, c.GetVersion())
	case etcd.Compare_CREATE:
		order = cmp.Compare(kv.CreateRevision, c.GetCreateRevision())
	case etcd.Compare_MOD:
		order = cmp.Compare(kv.ModRevision, c.GetModRevision())
	case etcd.Compare_VALUE:
		order = bytes.Compare(kv.Value, c.GetValue())
	case etcd.Compare_LEASE:
		order = cmp.Compare(kv.Lease, c.GetLease())
	}
	switch c.Result {
	case etcd.Compare_GREATER:
		return order > 0
	case etcd.Compare_LESS:
		return order < 0
	case etcd.Compare_NOT_EQUAL:
		return order != 0
	default:
		return order == 0
	}
}
