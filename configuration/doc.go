// Package configuration keeps the operators' configuration in force on one entry VM: it follows the
// store, asks other VMs while the store does not answer this one, and never goes back to an older version.
package configuration
