// Package share divides the slots of each target over the gates of its zone.
//
// A share follows from the gate table alone, so no counter is held in common. A gate that learns
// of a new table uses the smaller of its old and new share at once, and the new one only when all
// others have confirmed that very table. What a gate leaves idle it lends, for a bounded time.
//
// Why the sum of all shares in use never exceeds a target's slots: let W be the newest table that
// any gate has moved to. All others of W had confirmed W, so each has seen it, keeps it among the
// tables whose smallest share binds it, and uses no more than its share of W. A gate that W does
// not list has lost its lease; its last requests are waited for. A loan stays charged to its
// lender for longer than its borrower counts on it.
package share
