// Package maintenance describes the VMs that run workers, as reported by the platform, and the maintenance that
// operators request in waves. Progress decides which VMs of a wave are drained. The platform and the logs call it upkeep.
package maintenance
