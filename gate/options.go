package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/gate/target"
	"turmericgap/metric"
	"turmericgap/rpc"
	"turmericgap/share"
)

// Forward sends a check to another gate. An error that is neither a *rpc.Fault nor rpc.ErrNotSent
// leaves open whether the check ran.
type Forward func(ctx context.Context, address string, c *Check) (*Result, error)

// SiblingClient reach the other gates of this zone, by the ids of the gate table.
type SiblingClient struct {
	Borrow  func(ctx context.Context, gate string, r *share.LoanRequest) (*share.LoanReply, error)
	Return  func(ctx context.Context, gate string, r *share.LoanReturn) error
	Confirm func(ctx context.Context, gate string, c *share.Confirmation) (*share.Confirmation, error)
}

// Options are what a Gate is made of.
type Options struct {
	ID      string
	Zone    string
	Targets func() []target.Info
	Dial    target.Dial
	Peers   func(zone string) []string
	Forward Forward
	// Valid tells whether the gate holds its membership; nil makes the gate the only one of its zone.
	Valid func() bool
	// MemberSince gives the table version with which the present membership began.
	MemberSince func() int64
	Siblings    SiblingClient
	Keys        [][]byte
	Jobs        JobClient
	Rules       func(*Check) Decision
	Logger      *zap.Logger
	Metrics     *metric.Registry
	Limits      Limits
	Seed        uint64
}

// Limits bound what a Gate holds and how long it waits.
type Limits struct {
	// Timeout is the deadline of a check that states none; MaxTimeout bounds any.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// Queue bounds how many checks of one service wait.
	Queue int
	// Retries bounds the attempts of one check after the first.
	Retries int
	// Grace is how long after its deadline a request may still occupy its target.
	Grace time.Duration
	// Checks bounds the checks and streams in progress.
	Checks int
	// Streams bounds the streams among them, HeldBytes the bodies of all checks in progress.
	Streams       int
	BufferedBytes int64
	// Pipelined bounds the requests of one session that wait for each other.
	Pipelined int
	// SessionTTL is how long a session token holds.
	SessionTTL time.Duration
	// Connections bounds the callers' connections.
	Connections int
	// BodyBytes bounds the body of a check, HeaderBytes all headers of a request.
	BodyBytes   int64
	HeaderBytes int
	// ReadTimeout bounds the reading of a request, IdleTimeout a connection without one.
	ReadTimeout time.Duration
	IdleTimeout time.Duration
}

// Option sets up a Gate.
type Option func(*Options)

// ID sets the gate's id, which is unique for each life of the process.
func ID(id string) Option { return func(o *Options) { o.ID = id } }

// Zone sets the gate's availability zone.
func Zone(zone string) Option { return func(o *Options) { o.Zone = zone } }

// Targets sets the function that gives the current targets of all zones.
func Targets(f func() []target.Info) Option { return func(o *Options) { o.Targets = f } }

// Dial sets how the client of a target is made.
func Dial(d target.Dial) Option { return func(o *Options) { o.Dial = d } }

// Peers sets how gates of other zones are found and called.
func Peers(peers func(zone string) []string, forward Forward) Option {
	return func(o *Options) { o.Peers, o.Forward = peers, forward }
}

// Member makes the gate one of several in its zone: it uses nothing while valid is false or before
// SetTable has listed it, nor what it held before the membership that began with version since.
func Member(valid func() bool, since func() int64) Option {
	return func(o *Options) { o.Valid, o.MemberSince = valid, since }
}

// Siblings sets how the zone's other gates are reached.
func Siblings(s SiblingClient) Option { return func(o *Options) { o.Siblings = s } }

// OverRPC reaches the gates of all zones over rpc; address gives that of a gate of this zone by the
// id that the gate table has for it, and peers those of another zone's gates.
func OverRPC(pool *rpc.Pool, address func(gate string) (string, bool), peers func(zone string) []string) Option {
	return func(o *Options) {
		o.Siblings = siblingsOverRPC(pool, address)
		o.Peers = peers
		o.Forward = func(ctx context.Context, address string, c *Check) (*Result, error) {
			return rpc.Call[Check, Result](ctx, pool.Get(address), MethodCheck, c)
		}
	}
}

// SessionKeys sets the keys of session tokens: the first signs, all are accepted.
func SessionKeys(keys ...[]byte) Option { return func(o *Options) { o.Keys = keys } }

// JobOwner sets the functions that reach the owner of a job.
func JobOwner(j JobClient) Option { return func(o *Options) { o.Jobs = j } }

// Rules sets the function that decides about each check.
func Rules(f func(*Check) Decision) Option { return func(o *Options) { o.Rules = f } }

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets the registry of the gate's metrics.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }

// Limit changes the limits.
func Limit(f func(*Limits)) Option { return func(o *Options) { f(&o.Limits) } }

// Seed sets the seed of the random choices.
func Seed(n uint64) Option { return func(o *Options) { o.Seed = n } }
