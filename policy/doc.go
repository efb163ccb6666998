// Package policy measures the decisions of the planner. It replays loads from fixed seeds through the real planner
// in simulated time, and through simple baseline policies for comparison. It has neither network nor processes and
// does not measure their cost.
package policy
