// Package vmlist reads the platform's lagging list of live and leaving VMs.
package vmlist
