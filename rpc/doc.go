// Package rpc provides typed calls between the cell's own processes over net/rpc.
//
// net/rpc supports neither deadlines nor traces. An Envelope around each request carries both: the time
// left until the deadline, which needs no synchronized clocks, and the W3C trace parent. Faults are
// returned as data in a Reply, so that a caller can distinguish a refusal, which had no effect, from a
// lost response.
package rpc
