// Package balancer chooses a target for each request of one service in one zone.
//
// It compares two random targets and takes the one with fewer requests outstanding for its weight.
// New and returned targets start slowly; targets that fail or are far slower than their peers are
// ejected and let back by probes. It reads no clock: each call gets the time.
package balancer
