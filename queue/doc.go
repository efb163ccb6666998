// Package queue orders waiting items. Items with equal requirements share a lane; if the first item of a lane cannot
// start, the whole lane is skipped. Bands are tried from the most to the least urgent, and within a band the pool that
// uses the smallest share of its quota goes first. Items that have waited long or whose deadline is close are late and
// get a fixed part of all starts, so that no item starves.
package queue
