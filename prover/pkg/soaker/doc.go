// Package soaker runs the platform's daemons as separate processes on loopback
// addresses, disrupts them from outside by a seed, and checks what callers and
// targets see: whole answers of one snapshot, no run after a promise that there
// was none, no second run of what is not idempotent, bounded second sends,
// configurations that come into force and stay, and stops that cut nothing.
package soaker
