package scatterer

import "plantaincleat/entryd/pkg/cataloger"

// destination is where units are sent: to a replica, or to the daemon that asks the
// replicas. Exactly one of the fields is set.
type destination struct {
	replica *cataloger.Replica
	owner   *owner
}
