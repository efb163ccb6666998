// Package job holds the plain data of jobs and their tasks: what a caller submits, what the cell
// remembers of it, and the final states that an answer can have.
package job
