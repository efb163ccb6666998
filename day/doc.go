// Package day reports on a day of a cell from the JSON logs of its entry VMs: the outcomes of works by queue, zone
// and size class with their core-seconds, the time spent in each stage, the reasons for waiting, the use of permits, run
// times and the speed of workers, refusals, owners of the cell, store outages, and the lost and slowest works.
//
// Lines are processed one at a time and in any order, so the logs of several VMs need not be merged. Memory is bounded
// by the number of tracked works (MaxWorks) and runs, and a few hundred bytes for each second of the day.
package day
