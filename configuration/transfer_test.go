package configuration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/store/memory"
)

// largeDocument returns a document of a version that has several parts.
func largeDocument(version int64, size int) []byte {
	text := make([]byte, size)
	r := rand.New(rand.NewPCG(uint64(version), 0))
	for i := range text {
		text[i] = "0123456789abcdef"[r.IntN(16)]
	}
	return append(fmt.Appendf(nil, "%d\n", version), text...)
}

func decodeLarge(raw []byte) (*job.Config, error) {
	line, _, _ := strings.Cut(string(raw), "\n")
	return decode([]byte(line))
}

// sender returns a Watcher with a document in force.
func sender(raw []byte) *Watcher {
	w := New(memory.New().Store(), key, decodeLarge)
	w.Apply(raw, "store", time.Now())
	w.confirm(time.Now())
	return w
}

// Guards against a transfer that begins again at the first byte after its VM has failed, that mixes the parts of two
// versions, or that waits for a version that its only VM no longer sends.
func TestTransferIsContinued(t *testing.T) {
	const size = 5*partBytes + 17
	v8, v9 := largeDocument(8, size), largeDocument(9, size)
	for name, c := range map[string]struct {
		// senders are the documents of the VMs that are asked in turn; each but the last one answers the number of calls in fail.
		senders [][]byte
		fail    []int
		// ignoresOffset is set if the last VM knows the offset of the first request as little as another version.
		ignoresOffset bool
		want          []byte
		// wantParts is how many parts are sent in all.
		wantParts int
	}{
		"one VM":                           {senders: [][]byte{v8}, want: v8, wantParts: 6},
		"the first VM fails":               {senders: [][]byte{v8, v8}, fail: []int{3}, want: v8, wantParts: 6},
		"several VMs fail":                 {senders: [][]byte{v8, v8, v8, v8}, fail: []int{1, 0, 2}, want: v8, wantParts: 6},
		"the next VM has a newer version":  {senders: [][]byte{v8, v9}, fail: []int{3}, want: v9, wantParts: 9},
		"the next VM has an older version": {senders: [][]byte{v9, v8}, fail: []int{3}, want: v8, wantParts: 9},
		"the next VM sends from the start": {senders: [][]byte{v8, v8}, fail: []int{3}, ignoresOffset: true, want: v8, wantParts: 9},
		"a small document":                 {senders: [][]byte{[]byte("8\n")}, want: []byte("8\n"), wantParts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				vms := make(map[string]*Watcher)
				left := make(map[string]int)
				for i, raw := range c.senders {
					vms[fmt.Sprint(i)] = sender(raw)
					if left[fmt.Sprint(i)] = size; i < len(c.fail) {
						left[fmt.Sprint(i)] = c.fail[i]
					}
				}
				sent := 0
				w := New(memory.New().Store(), key, decodeLarge, Peers("self", func() []string { return nil },
					func(_ context.Context, address string, req *PeerRequest) (*PeerReply, error) {
						if req.VersionOnly {
							return vms[address].Reply(req), nil
						}
						if left[address] == 0 {
							return nil, errors.New("no answer")
						}
						left[address]--
						sent++
						if c.ignoresOffset && left[address] == size-1 {
							req.Offset = 0
						}
						return vms[address].Reply(req), nil
					}))
				w.Apply([]byte("7\n"), "store", time.Now())
				for i := range c.senders {
					is.Equal(w.pollOne(t.Context(), fmt.Sprint(i)) == pollNewer, i == len(c.senders)-1)
				}
				is.True(bytes.Equal(w.Document().Raw, c.want))
				is.Equal(sent, c.wantParts)
			})
		})
	}
}

// Guards against a VM that can't exchange documents with the builds before it, which send whole ones and ask for them.
func TestTransferWithBuildWithoutParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		raw := largeDocument(8, 3*partBytes)
		vm := sender(raw)
		is.Equal(len(vm.Reply(&PeerRequest{KnownVersion: 7}).Raw), len(raw))
		w := New(memory.New().Store(), key, decodeLarge, Peers("self", onePeer, func(_ context.Context, _ string, req *PeerRequest) (*PeerReply, error) {
			return vm.Reply(&PeerRequest{KnownVersion: req.KnownVersion, VersionOnly: req.VersionOnly}), nil
		}))
		w.Apply([]byte("7\n"), "store", time.Now())
		is.Equal(w.pollOne(t.Context(), "old"), pollNewer)
		is.True(bytes.Equal(w.Document().Raw, raw))
	})
}

// Guards against a part that is not of the document, from a build with another size of parts or a spoiled reply.
func TestUnusablePartIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, reply := range []PeerReply{
			{Document: Document{Version: 8}, Confirmed: true, Part: []byte("x"), Size: 10},
			{Document: Document{Version: 8}, Confirmed: true, Part: compress([]byte("8\n")), Size: 2, Offset: 7},
		} {
			w := New(memory.New().Store(), key, decodeLarge, Peers("self", onePeer, func(context.Context, string, *PeerRequest) (*PeerReply, error) { return &reply, nil }))
			w.Apply([]byte("7\n"), "store", time.Now())
			is.Equal(w.pollOne(t.Context(), "other"), pollFailed)
			is.Equal(w.Document().Version, int64(7))
		}
	})
}

// Guards against rules that change during a transfer and are sent again with each further part of the document.
func TestRulesAreSentOnceInTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vm := sender(largeDocument(8, 5*partBytes))
		sent := 0
		w := New(memory.New().Store(), key, decodeLarge, Peers("self", onePeer, func(_ context.Context, _ string, req *PeerRequest) (*PeerReply, error) {
			if req.Part {
				vm.rules.Apply([]byte(`{"version":3,"rules":{"rules":[]}}`))
			}
			reply := vm.Reply(req)
			if len(reply.Rules) > 0 {
				sent++
			}
			return reply, nil
		}))
		w.Apply([]byte("7\n"), "store", time.Now())
		is.Equal(w.pollOne(t.Context(), "other"), pollNewer)
		is.Equal(w.rules.versionInForce(), int64(3))
		is.Equal(sent, 1)
	})
}

// Guards against a slow VM that goes on to send a document, part by part, while a fast one waits.
func TestSlowVMLeavesTransferToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		raw := largeDocument(8, 14*partBytes)
		vm := sender(raw)
		w := New(memory.New().Store(), key, decodeLarge, Peers("self", onePeer, func(_ context.Context, address string, req *PeerRequest) (*PeerReply, error) {
			if time.Sleep(callLatency); req.Part && address == "slow" {
				time.Sleep(400 * time.Millisecond)
			}
			return vm.Reply(req), nil
		}))
		w.Apply([]byte("7\n"), "store", time.Now())
		began, done := time.Now(), make(chan pollResult)
		go func() { done <- w.pollOne(t.Context(), "slow") }()
		time.Sleep(callLatency)
		go func() { done <- w.pollOne(t.Context(), "fast") }()
		is.Equal([]pollResult{<-done, <-done}, []pollResult{pollBusy, pollNewer})
		is.True(bytes.Equal(w.Document().Raw, raw))
		is.True(time.Since(began) < DefaultApplyWithin)
	})
}
