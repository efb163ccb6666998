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

// DefaultRetryAfter is when a caller may ask again while a zone changes its owner.
const DefaultRetryAfter = 2 * time.Second

// tries bounds how often one request is sent: the second goes to the owner that has taken over.
const tries = 2

// JobID gives the identity of the job with that key; one key is one job, so a repeat meets the first.
func JobID(zone, key string) string {
	return zone + "." + strconv.FormatUint(xxhash.Sum64String(key), 16)
}

// ZoneOf gives the home zone within a job's identity.
func ZoneOf(id string) string {
	if at := strings.LastIndexByte(id, '.'); at > 0 {
		return id[:at]
	}
	return ""
}

// HomeZone gives the zone that owns a submission: the one that it is pinned to, or the one of
// zones whose hash with the key is highest, so that one zone more moves few keys.
func HomeZone(s *job.Submission, zones []string) string {
	if s.Zone != "" {
		return s.Zone
	}
	best, most := "", uint64(0)
	for _, z := range zones {
		if h := xxhash.Sum64String(z + "\x00" + s.Key); best == "" || h > most {
			best, most = z, h
		}
	}
	return best
}

// Client sends each request to the owner of its zone.
type Client struct {
	// Zones are all zones of the cell, the same in every process.
	Zones []string
	// Owner gives the address of a zone's owner as this process knows it.
	Owner func(zone string) (address string, ok bool)
	Pool  *rpc.Pool
}

// Submit brings a job to its home zone.
func (c *Client) Submit(ctx context.Context, spec *job.Submission) (*job.Status, error) {
	if l := spec.Check(); len(l) > 0 {
		return nil, &rpc.Fault{Code: rpc.CodeInvalid, Reason: l.Error(), Findings: l}
	}
	st, err := send[SubmitRequest, job.Status](ctx, c, HomeZone(spec, c.Zones), CallSubmit, &SubmitRequest{Spec: *spec})
	if f := rpc.AsFault(err); f == nil || f.Code != rpc.CodeMoved {
		return st, err
	}
	// The home zone has remembered for good where the key belongs, so that a repeat goes there too.
	there := *spec
	there.Zone = rpc.AsFault(err).Zone
	return send[SubmitRequest, job.Status](ctx, c, there.Zone, CallSubmit, &SubmitRequest{Spec: there})
}

// Status asks where a job stands.
func (c *Client) Status(ctx context.Context, id string) (*job.Status, error) {
	return send[JobRequest, job.Status](ctx, c, ZoneOf(id), CallStatus, &JobRequest{ID: id})
}

// Wait asks for the final status, or the latest when ctx is about to end.
func (c *Client) Wait(ctx context.Context, id string) (*job.Status, error) {
	return send[JobRequest, job.Status](ctx, c, ZoneOf(id), CallWait, &JobRequest{ID: id})
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, id, reason string) (*job.Status, error) {
	return send[CancelRequest, job.Status](ctx, c, ZoneOf(id), CallCancel, &CancelRequest{ID: id, Reason: reason})
}

// Explain explains where a job stands.
func (c *Client) Explain(ctx context.Context, id string) (*Explanation, error) {
	return send[JobRequest, Explanation](ctx, c, ZoneOf(id), CallExplain, &JobRequest{ID: id})
}

// List gives the jobs of one zone.
func (c *Client) List(ctx context.Context, zone string, most int) ([]job.Status, error) {
	l, err := send[ListRequest, ListReply](ctx, c, zone, CallList, &ListRequest{Limit: most})
	if err != nil {
		return nil, err
	}
	return l.Jobs, nil
}

// send makes a call that is idempotent, so that one whose answer was lost may be sent once more.
func send[Req, Resp any](ctx context.Context, c *Client, zone, name string, req *Req) (*Resp, error) {
	mayHaveRun := false
	var last error
	tried := ""
	for range tries {
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
	return nil, verdict(zone, last, mayHaveRun)
}

// verdict says what a caller may conclude after the last try: one lost answer makes it unknown.
func verdict(zone string, last error, mayHaveRun bool) *rpc.Fault {
	if mayHaveRun {
		return &rpc.Fault{Code: rpc.CodeUnknown, Reason: "no answer from zone " + zone + "; ask again with the same key or id", RetryAfter: DefaultRetryAfter}
	}
	if last == nil {
		return rpc.Refused(DefaultRetryAfter, "zone %s has no owner that is known here", zone)
	}
	return rpc.Refused(DefaultRetryAfter, "the owner of zone %s cannot be reached", zone)
}
