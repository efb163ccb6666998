// Package quota tracks the resources that each pool uses against its quota. A pool is a team, or a name set by a
// rule. A pool may borrow idle capacity beyond its quota, and gives it back when others need it.
package quota
