// Package permit asks a queue's policy service which workers may run a step, and spreads these
// questions over the entry VMs, of which the service answers one at a time.
package permit
