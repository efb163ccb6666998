// Package job defines the data types of jobs and tasks: what a caller submits, the status that the cell
// reports, and the possible outcomes.
package job
