// Package crowder surrounds real daemons with clients that do not behave: many connections at
// once that send large heads or bodies and stop short of their end, read no answers, or send
// nothing. It measures what the daemons hold meanwhile.
package crowder
