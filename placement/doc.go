// Package placement chooses the workers on which tasks run: packed, spread over racks, or close together for a gang.
// Workers are indexed by free capacity, so the cost of a choice grows more slowly than their number.
package placement
