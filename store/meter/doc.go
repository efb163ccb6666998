// Package meter counts a process's calls of the store and keeps them within its budget: the service
// counts every call, and its rates grow more slowly than the fleet.
package meter
