// Package day reports a day of a cell from the JSON lines that its entry VMs have logged: what became of works by
// queue, zone and size, how long they spent in each stage of their path, what they waited for, what was refused
// and why, who owned the cell, and which works were lost or slowest.
//
// Lines are read one at a time in any order, so that the logs of several VMs need not be merged. Memory is bounded
// by the works that are followed (MostWorks), and by some hundred bytes for each second of the day.
package day
