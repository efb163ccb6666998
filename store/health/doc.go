// Package health detects whether the store responds to this process.
//
// A write sent to a store that does not respond has an unknown outcome: it may take effect later, so it can be reported
// neither as done nor as failed. A Monitor observes every store call of the process and detects an outage from them,
// without calls of its own, before more writes are sent.
package health
