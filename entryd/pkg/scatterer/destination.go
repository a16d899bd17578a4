package scatterer

import "plantaincleat/entryd/pkg/cataloger"

// destination is where units are sent: a replica, or the daemon that owns the shards.
// Exactly one of the fields is set.
type destination struct {
	replica *cataloger.Replica
	owner   *owner
}
