// Package gate faces the callers: it routes checks, sessions and jobs, bounds what waits, retries
// within a budget, and gives every request one of the three final outcomes.
package gate
