// Package placement chooses the workers on which tasks run: packed, spread over racks, or whole gangs
// near each other. Workers are indexed by what they have free, so that the cost of a choice grows
// more slowly than their number.
package placement
