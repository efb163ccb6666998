// Package member keeps the tables of members of each availability zone and role, and decides who owns a zone.
//
// A table changes only by compare-and-swap in the store. A member is removed, and a zone taken
// over, only by a transaction that also compares that the member's lease-bound key is absent.
// While the store cannot be reached a member goes on by the promises of all others not to do that.
package member
