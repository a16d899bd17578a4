// Package prover holds the tests that cause failures of separate processes and
// check the histories of concurrent runs against the promises of the system.
package prover
