// Package vmlist reads the platform's list of live and leaving VMs. The list lags behind the actual state.
package vmlist
