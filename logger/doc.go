// Package logger makes structured logs of short sentences with a fixed prefix for each part.
package logger
