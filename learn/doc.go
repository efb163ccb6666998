// Package learn records the run times and the peak usage of tasks by job class. Declared values are inaccurate; the
// recorded ones determine the slack before deadlines, backfill and reservations.
package learn
