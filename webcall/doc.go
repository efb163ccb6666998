// Package webcall sends JSON over HTTP to the platform's VMs, and tells a call that surely had no
// effect from one that may have had one.
package webcall
