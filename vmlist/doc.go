// Package vmlist reads the platform's list of live and leaving VMs, which is shown with a delay.
package vmlist
