// Package turmericgap is a cluster scheduler for mixed workloads in one cell: long-lived sessions that are
// never dropped, overnight batches, gangs and short checks. An ordered list of rules governs its decisions.
//
// A Service is the runtime of one program of the cell. It provides logs, metrics, traces, readiness and
// graceful shutdown. The parts are in packages of their own: gate, scheduler, and below them rule,
// placement, record, member, store, worker and gate/target.
package turmericgap
