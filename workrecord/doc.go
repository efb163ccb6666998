// Package workrecord defines what the platform's store holds of works: their keys and records, and how they are read.
package workrecord
