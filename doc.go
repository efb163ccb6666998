// Package turmericgap is a cluster scheduler for unlike workloads in one cell: sessions that are
// never dropped, overnight batches, gangs and short checks, decided by an ordered list of rules.
//
// A Service is the shell that every program of the cell runs in: logs, metrics, traces, readiness
// and graceful shutdown. The parts live in folders of their own: gate, scheduler, and below them
// rule, placement, journal, member, store, worker and target.
package turmericgap
