// Package worker is a stand-in of the platform's workers: it runs no real work, but starts,
// renews, ends, stops and forgets attempts as a worker does, and fails on demand.
package worker
