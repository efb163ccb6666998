// Package learn remembers how long the tasks of a job class ran and what they used at their peak.
// Declared figures are far off; these decide the slack of deadlines, backfill and reservations.
package learn
