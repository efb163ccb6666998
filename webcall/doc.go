// Package webcall sends JSON over HTTP to the platform's VMs. Its errors distinguish calls that had no
// effect from calls whose outcome is unknown.
package webcall
