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

// Forward sends a check to another gate. After an error other than an *rpc.Fault or rpc.ErrNotSent
// it is unknown whether the check ran.
type Forward func(ctx context.Context, address string, c *Check) (*Result, error)

// SiblingClient calls the other gates of this zone by their IDs in the gate table.
type SiblingClient struct {
	Borrow  func(ctx context.Context, gate string, request *share.LoanRequest) (*share.LoanReply, error)
	Return  func(ctx context.Context, gate string, r *share.LoanReturn) error
	Confirm func(ctx context.Context, gate string, c *share.Confirmation) (*share.Confirmation, error)
}

// Options configures a Gate.
type Options struct {
	ID      string
	Zone    string
	Targets func() []target.Info
	Dial    target.Dial
	Peers   func(zone string) []string
	Forward Forward
	// Valid reports whether the gate's membership is valid; nil means that the gate is alone in its
	// zone.
	Valid func() bool
	// MemberSince returns the table version at which the current membership began.
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

// Limits are the capacity limits and timeouts of a Gate.
type Limits struct {
	// Timeout is the default deadline of a check; MaxTimeout limits every deadline.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// Queue limits the waiting checks of one service.
	Queue int
	// Retries limits the attempts of one check after the first.
	Retries int
	// Grace is how long after its deadline a request may still occupy its target.
	Grace time.Duration
	// Checks limits the checks, job calls and streams in progress.
	Checks int
	// Streams limits the streams in progress; BufferedBytes limits the request bodies held in
	// memory.
	Streams       int
	BufferedBytes int64
	// Pipelined limits the requests of one session that wait for earlier ones.
	Pipelined int
	// SessionTTL is the lifetime of a session token.
	SessionTTL time.Duration
	// Connections limits the callers' connections.
	Connections int
	// BodyBytes limits the body of a check; HeaderBytes limits the headers of a request.
	BodyBytes   int64
	HeaderBytes int
	// ReadTimeout limits the reading of a request; IdleTimeout limits idle connections.
	ReadTimeout time.Duration
	IdleTimeout time.Duration
}

// Option configures a Gate.
type Option func(*Options)

// ID sets the gate's ID, which differs after each restart of the process.
func ID(id string) Option { return func(o *Options) { o.ID = id } }

// Zone sets the gate's availability zone.
func Zone(zone string) Option { return func(o *Options) { o.Zone = zone } }

// Targets sets the function that returns the current targets of all zones.
func Targets(f func() []target.Info) Option { return func(o *Options) { o.Targets = f } }

// Dial sets the function that creates the client of a target.
func Dial(d target.Dial) Option { return func(o *Options) { o.Dial = d } }

// Peers sets the functions that find and call gates of other zones.
func Peers(peers func(zone string) []string, forward Forward) Option {
	return func(o *Options) { o.Peers, o.Forward = peers, forward }
}

// Member makes the gate one of several in its zone. It uses no slots while valid returns false or
// before SetTable has listed it, and drops slots acquired before the membership that began at
// version since.
func Member(valid func() bool, since func() int64) Option {
	return func(o *Options) { o.Valid, o.MemberSince = valid, since }
}

// Siblings sets the client for the other gates of the zone.
func Siblings(s SiblingClient) Option { return func(o *Options) { o.Siblings = s } }

// OverRPC calls the gates of all zones over rpc. The function address resolves a gate of this zone
// by its ID in the gate table, and peers returns the addresses of the gates of another zone.
func OverRPC(pool *rpc.Pool, address func(gate string) (string, bool), peers func(zone string) []string) Option {
	return func(o *Options) {
		o.Siblings = newSiblingClient(pool, address)
		o.Peers = peers
		o.Forward = func(ctx context.Context, address string, c *Check) (*Result, error) {
			return rpc.Call[Check, Result](ctx, pool.Get(address), MethodCheck, c)
		}
	}
}

// SessionKeys sets the keys of session tokens. The first signs; all are accepted.
func SessionKeys(keys ...[]byte) Option { return func(o *Options) { o.Keys = keys } }

// JobOwner sets the client for the owners of jobs.
func JobOwner(j JobClient) Option { return func(o *Options) { o.Jobs = j } }

// Rules sets the function that evaluates the rules for a check.
func Rules(f func(*Check) Decision) Option { return func(o *Options) { o.Rules = f } }

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets the metrics registry.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }

// Limit modifies the limits.
func Limit(f func(*Limits)) Option { return func(o *Options) { f(&o.Limits) } }

// Seed sets the seed of the random number generator.
func Seed(n uint64) Option { return func(o *Options) { o.Seed = n } }
