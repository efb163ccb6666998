// Package worker is a stand-in for the platform's workers. It runs no real tasks, but starts, renews, ends, stops
// and forgets attempts as a worker does, and fails on demand.
package worker
