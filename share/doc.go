// Package share divides the slots of each target between the gates of its zone.
//
// A gate derives its share from the gate table alone, so the gates need no shared counter. A gate that receives a new
// table immediately uses the smaller of its old and new share, and uses the new share in full only after all other
// gates have confirmed exactly that table. It lends its idle slots to other gates for a bounded time.
//
// Why the shares in use never add up to more than a target's slots: let W be the newest table that any gate has fully
// adopted. All other gates in W confirmed W before, so each of them has seen it, keeps it among the tables that limit
// its share, and uses no more than its share of W. A gate that is not in W has lost its lease, and the others wait for
// its last requests to end. A loan stays charged to the lender for longer than the borrower uses it.
package share
