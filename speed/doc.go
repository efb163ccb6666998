// Package speed learns how fast workers run tasks, and how long the tasks of a queue take. It performs no I/O and reads
// no clock.
//
// It answers a load in which workers of unlike speed share one list: placed evenly, tasks with little slack are late on
// the slow workers, and a gang runs at the pace of its slowest member.
package speed
