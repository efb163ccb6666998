// Package member maintains the membership table of each availability zone and role, and elects the owner of a zone.
//
// A table changes only by compare-and-swap in the store. A member is removed, or its zone taken over, only by a
// transaction that also requires the member's lease-bound presence key to be missing. While the store is unreachable,
// a member may act as long as all its peers have promised not to remove it.
package member
