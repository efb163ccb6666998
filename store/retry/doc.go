// Package retry implements exponential backoff with jitter. The jitter prevents many processes that lost the store at
// the same time from retrying at the same time.
package retry
