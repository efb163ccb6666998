// Package maintenance holds what the platform tells of the VMs under the workers, and the upkeep that
// operators ask for in waves.
package maintenance
