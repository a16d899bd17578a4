package scatterer

import "plantaincleat/entryd/pkg/cataloger"

// path is where units are sent: to a replica, or to the daemon that asks the
// replicas. Exactly one of the fields is set.
type path struct {
	replica *cataloger.Replica
	owner   *owner
}
