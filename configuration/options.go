package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/metric"
)

// DefaultApplyWithin is the default of ApplyWithin.
const DefaultApplyWithin = 2 * time.Second

// Option configures a Watcher.
type Option func(*Watcher)

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(w *Watcher) { w.log = l } }

// Metrics sets the registry of the Watcher's metrics.
func Metrics(r *metric.Registry) Option { return func(w *Watcher) { w.metrics = r } }

// ApplyWithin sets how long after its acknowledgement by the store a version may come into force on the last VM.
func ApplyWithin(d time.Duration) Option { return func(w *Watcher) { w.within = d } }

// Peers sets the address of this VM, and the functions that list the addresses of the other VMs, some of which may be
// gone, and that ask one of them for newer documents.
func Peers(self string, list func() []string, ask func(ctx context.Context, address string, req *PeerRequest) (*PeerReply, error)) Option {
	return func(w *Watcher) { w.self, w.listPeers, w.ask = self, list, ask }
}

// ListsPart sets the function that reports whether only some of the other VMs are listed, as in a large cell.
func ListsPart(f func() bool) Option { return func(w *Watcher) { w.listsPart = f } }

// StoreLastAnswer sets the function that returns when the store last answered any call of this VM. Without it only the
// answers to the Watcher's own calls count, at intervals of seconds.
func StoreLastAnswer(f func() time.Time) Option { return func(w *Watcher) { w.storeLastAnswer = f } }

// ExchangeRules sets the operators' rules that are exchanged with other VMs together with the configuration.
func ExchangeRules(r *Rules) Option { return func(w *Watcher) { w.rules = r } }
