// Package calllimit limits the calls that are in flight at the same time.
package calllimit
