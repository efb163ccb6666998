// Package load puts journals under a steady load of starts and measures what the store bears: calls,
// and the time from a record's hand-over until it is durable.
package load
