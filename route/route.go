package route

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericgap/job"
	"turmericgap/rpc"
)

// DefaultRetryAfter is how long a caller waits before a retry while the owner of a zone changes.
const DefaultRetryAfter = 2 * time.Second

// maxAttempts bounds how often a request is sent; the second attempt reaches an owner that has taken over.
const maxAttempts = 2

// JobID returns the ID of the job with the given key. A key identifies one job, so a repeated request finds it.
func JobID(zone, key string) string {
	return zone + "." + strconv.FormatUint(xxhash.Sum64String(key), 16)
}

// ZoneOf returns the home zone encoded in a job ID, or an empty string if there is none.
func ZoneOf(id string) string {
	if at := strings.LastIndexByte(id, '.'); at > 0 {
		return id[:at]
	}
	return ""
}

// HomeZone returns the zone that owns a submission: the zone it is pinned to, or by rendezvous hashing the zone whose
// hash with the key is highest, so that adding a zone moves few keys.
func HomeZone(s *job.Submission, zones []string) string {
	if s.Zone != "" {
		return s.Zone
	}
	best, highest := "", uint64(0)
	for _, z := range zones {
		if h := xxhash.Sum64String(z + "\x00" + s.Key); best == "" || h > highest {
			best, highest = z, h
		}
	}
	return best
}

// Client sends each request to the owner of its zone.
type Client struct {
	// Zones lists all zones of the cell. It must be the same in every process.
	Zones []string
	// Owner returns the address of a zone's owner as known to this process.
	Owner func(zone string) (address string, ok bool)
	Pool  *rpc.Pool
}

// Submit sends a job to its home zone.
func (c *Client) Submit(ctx context.Context, spec *job.Submission) (*job.Status, error) {
	if l := spec.Check(); len(l) > 0 {
		return nil, &rpc.Fault{Code: rpc.CodeInvalid, Reason: l.Error(), Findings: l}
	}
	st, err := send[SubmitRequest, job.Status](ctx, c, HomeZone(spec, c.Zones), CallSubmit, &SubmitRequest{Spec: *spec})
	if f := rpc.AsFault(err); f == nil || f.Code != rpc.CodeMoved {
		return st, err
	}
	// The home zone has recorded permanently which zone has the key, so a repeated request goes there too.
	moved := *spec
	moved.Zone = rpc.AsFault(err).Zone
	return send[SubmitRequest, job.Status](ctx, c, moved.Zone, CallSubmit, &SubmitRequest{Spec: moved})
}

// Status returns the status of a job.
func (c *Client) Status(ctx context.Context, id string) (*job.Status, error) {
	return send[JobRequest, job.Status](ctx, c, ZoneOf(id), CallStatus, &JobRequest{ID: id})
}

// Wait returns the final status of a job, or the latest one when ctx is about to end.
func (c *Client) Wait(ctx context.Context, id string) (*job.Status, error) {
	return send[JobRequest, job.Status](ctx, c, ZoneOf(id), CallWait, &JobRequest{ID: id})
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id, reason string) (*job.Status, error) {
	return send[CancelRequest, job.Status](ctx, c, ZoneOf(id), CallCancel, &CancelRequest{ID: id, Reason: reason})
}

// Explain returns the status of a job with the reasons for it.
func (c *Client) Explain(ctx context.Context, id string) (*Explanation, error) {
	return send[JobRequest, Explanation](ctx, c, ZoneOf(id), CallExplain, &JobRequest{ID: id})
}

// List returns at most limit jobs of one zone.
func (c *Client) List(ctx context.Context, zone string, limit int) ([]job.Status, error) {
	l, err := send[ListRequest, ListReply](ctx, c, zone, CallList, &ListRequest{Limit: limit})
	if err != nil {
		return nil, err
	}
	return l.Jobs, nil
}

// send makes an idempotent call, which is therefore safe to repeat after a lost answer.
func send[Req, Resp any](ctx context.Context, c *Client, zone, name string, req *Req) (*Resp, error) {
	mayHaveRun := false
	var last error
	tried := ""
	for range maxAttempts {
		address, ok := c.Owner(zone)
		if !ok || (address == tried && errors.Is(last, rpc.ErrNotSent)) {
			break
		}
		tried = address
		resp, err := rpc.Call[Req, Resp](ctx, c.Pool.Get(address), name, req)
		if err == nil {
			return resp, nil
		}
		last = err
		fault := rpc.AsFault(err)
		switch {
		case fault != nil && fault.Code == rpc.CodeNotOwner, errors.Is(err, rpc.ErrNotSent):
		case fault != nil && fault.Code != rpc.CodeUnknown:
			return nil, fault
		default:
			mayHaveRun = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, finalFault(zone, last, mayHaveRun)
}

// finalFault returns what the caller may conclude after the last attempt: after a lost answer the outcome is unknown.
func finalFault(zone string, last error, mayHaveRun bool) *rpc.Fault {
	if mayHaveRun {
		return &rpc.Fault{Code: rpc.CodeUnknown, Reason: "no answer from zone " + zone + "; ask again with the same key or id", RetryAfter: DefaultRetryAfter}
	}
	if last == nil {
		return rpc.Refused(DefaultRetryAfter, "zone %s has no owner that is known here", zone)
	}
	return rpc.Refused(DefaultRetryAfter, "the owner of zone %s cannot be reached", zone)
}
