// Package route sends requests about jobs to the scheduler that owns the job's home zone.
package route
