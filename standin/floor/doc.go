// Package floor simulates the workers of a cell in memory. The workers run tasks under leases and fencing tokens,
// form gangs, and can be given faults. The package records which run was on which worker, and checks that history
// for violations.
package floor
