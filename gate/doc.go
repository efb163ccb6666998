// Package gate serves the callers of the cell over HTTP. It routes checks, sessions and jobs,
// limits its queues, retries within a budget, and ends every request as done, not run or unknown.
package gate
