// Package soaker runs the platform's daemons as separate processes on loopback
// addresses, disrupts them from outside in an order that a seed decides, and
// checks what callers and targets see. An answer must be complete and come from
// one set of shards. A request that was answered as not executed must not be
// executed, and a request that is not idempotent must be executed at most once.
// Extra requests are bounded. An accepted configuration must come into force in
// time and stay in force, and a graceful stop must abort no request.
package soaker
