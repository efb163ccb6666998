// Package balancer selects a target for each request of one service in one zone.
//
// It compares two random targets and takes the one with fewer outstanding requests relative to its slots
// and weight. New and reinstated targets start slowly. Targets that fail or are much slower than their
// peers are ejected and reinstated by probes. The package reads no clock; callers pass the time.
package balancer
