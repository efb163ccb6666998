// Package link provides in-memory connections between VMs whose network links have a limited speed.
package link
