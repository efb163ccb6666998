// Package view keeps the newest rules, member tables and VM list that a process knows.
//
// A Keeper holds the only store watch of its VM, and a Follower on the same VM reads the Keeper's
// views. Both send the newest rules to processes that lack them and never accept older ones, so a
// slow store or a missed watch event does not keep old rules in force.
package view
