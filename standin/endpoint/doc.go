// Package endpoint provides typed JSON-over-HTTP handlers for the stand-ins of the platform.
package endpoint
