// Package view keeps the newest rules, member tables and VM list that a process knows.
//
// A Keeper holds the one watch of its VM and a Follower, beside it, follows the Keeper. Both pass
// the newest rules on to the processes that lack them, and never go back to older ones, whoever
// brings those: a slow store or a missed watch does not keep an old rule alive.
package view
