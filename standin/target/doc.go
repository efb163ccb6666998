// Package target is a stand-in of the platform's targets: it answers requests within its slots,
// keeps sessions and first answers, and fails on demand.
package target
