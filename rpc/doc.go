// Package rpc carries typed calls between the cell's own processes over net/rpc.
//
// net/rpc knows neither deadlines nor traces. Both travel in an Envelope around each request: the
// time that is left, which needs no common clock, and the W3C trace parent. Faults travel as data
// in a Reply, so that a caller can tell a refusal, which surely did nothing, from a lost answer.
package rpc
