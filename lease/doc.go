// Package lease holds a lease of the platform's store and reports whether the lease may still be trusted.
//
// The holder counts each lease from before the renewal was sent, on its own clock and minus a drift allowance, so it
// always stops trusting the lease before the store ends it.
package lease
