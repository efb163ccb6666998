// Package lease holds one lease of the platform's service and tells whether it may still be trusted.
//
// The holder counts the lease from before each renewal was sent, on its own clock and less a drift
// allowance, so that it always stops trusting the lease before the service ends it.
package lease
