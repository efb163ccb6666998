// Package quota counts what each pool holds against what it may hold. A pool is a team, or what a
// rule names. Idle capacity may be borrowed beyond the quota, and is given back when it is needed.
package quota
