// Package retry spaces out repeated calls: exponential backoff with jitter, so that many processes
// that lost the store at the same moment do not come back at the same moment.
package retry
