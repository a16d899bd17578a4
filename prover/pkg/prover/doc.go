// Package prover holds the tests that run the daemons as separate processes,
// cause failures, and check the histories of concurrent requests against the
// guarantees of the system.
package prover
