// Package route brings a caller's requests about jobs to the scheduler that owns the job's home zone.
package route
