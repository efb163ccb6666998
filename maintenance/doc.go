// Package maintenance describes the VMs that run workers, as reported by the platform, and the upkeep that
// operators request in waves.
package maintenance
