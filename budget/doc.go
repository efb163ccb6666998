// Package budget bounds retries by a share of recent successes.
//
// When targets fail, every request would otherwise become several, and the load that keeps them
// down would multiply. A success earns a fraction of a retry; an outage earns none.
package budget
