// Package policy measures the planner's decisions: loads from fixed seeds go through the real planner
// under a simulated time, beside simple policies on the same load. It has neither network nor
// processes, and says nothing of what they cost.
package policy
