// Package load runs journals under a steady load of job starts. It measures the store calls and the time from a
// record's Append until the record is durable.
package load
