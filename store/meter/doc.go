// Package meter counts a process's store calls and limits their rate to a budget. The service accounts for every call,
// and its rate limits grow more slowly than the fleet.
package meter
