// Package queue orders what waits. Items that need the same stand in one lane, so that a lane whose
// first item cannot start is passed over whole. Bands go from the most to the least urgent; within a
// band the team that holds the smallest share of its quota is next. Items that have waited long, or
// whose deadline presses, are late and get a part of all turns, so that nothing waits for ever.
package queue
