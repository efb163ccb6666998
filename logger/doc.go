// Package logger creates structured loggers. Each part of the system logs short messages with a fixed
// prefix.
package logger
