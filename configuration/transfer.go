package configuration

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// partBytes is the size of a part of a document before compression. A part takes half a second on a link of 1 Mbit/s.
	partBytes = 64 << 10
	// transferDivisor divides the time within which a version must be in force: that part of it limits the wait for a
	// transfer from another VM. partDivisor divides it likewise for the wait for one part, and turnDivisor for the time
	// that one VM has to send parts while others wait.
	transferDivisor = 2
	partDivisor     = 4
	turnDivisor     = 8
)

// download is a document of which the first parts have arrived. It is continued from any VM that has the same version.
type download struct {
	version int64
	size    int
	raw     []byte
	// firstKnown is when the first VM on the way of the document received it.
	firstKnown time.Time
}

// transfer gets the document of a VM that has a newer version than the known one. It waits while another VM sends its own,
// as both would share the link of this VM.
func (w *Watcher) transfer(ctx context.Context, address string, known int64) pollResult {
	waitCtx, cancel := context.WithTimeout(ctx, w.within/transferDivisor)
	defer cancel()
	w.waitingTransfers.Add(1)
	select {
	case w.transferring <- struct{}{}:
		w.waitingTransfers.Add(-1)
		defer func() { <-w.transferring }()
	case <-waitCtx.Done():
		w.waitingTransfers.Add(-1)
		return pollBusy
	}
	started, before := time.Now(), len(w.download.raw)
	result := w.receiveParts(ctx, address, known)
	if result != pollNewer {
		w.log.Info("configuration: document not received", zap.String("from", address), zap.Int64("known", known),
			zap.Int64("version", w.download.version), zap.String("result", string(result)), zap.Int("receivedBefore", before),
			zap.Int("received", len(w.download.raw)), zap.Int("bytes", w.download.size), zap.Duration("took", time.Since(started)))
	}
	return result
}

// receiveParts continues the download from one VM until the document is complete, the VM sends no usable part, or its turn
// is over and another one waits, which may be faster. Only the goroutine in transfer may call it.
func (w *Watcher) receiveParts(ctx context.Context, address string, known int64) pollResult {
	d, started := &w.download, time.Now()
	for {
		if w.Document().Version > known {
			return pollNewer // from the store or another VM, meanwhile
		}
		sent := time.Now()
		reply, err := w.call(ctx, address, w.within/partDivisor, &PeerRequest{Part: true, PartOf: d.version, Offset: len(d.raw)})
		switch {
		case err != nil:
			return pollFailed
		case len(reply.Part) == 0:
			// The VM sends whole documents, or has none that is newer.
			return w.applyReply(address, known, sent, reply)
		}
		if reply.Version != d.version || reply.Offset == 0 {
			*d = download{version: reply.Version, size: reply.Size, firstKnown: sent.Add(-reply.KnownFor)}
		}
		part, err := decompress(reply.Part)
		if err != nil || reply.Offset != len(d.raw) {
			w.log.Error("configuration: part of a document cannot be used", zap.String("from", address), zap.Int("offset", reply.Offset), zap.Error(err))
			return pollFailed
		}
		if d.raw = append(d.raw, part...); len(d.raw) < d.size {
			if w.waitingTransfers.Load() > 0 && time.Since(started) >= w.within/turnDivisor {
				return pollBusy
			}
			continue
		}
		reply.Raw, reply.KnownFor = d.raw, sent.Sub(d.firstKnown)
		*d = download{}
		return w.applyReply(address, known, sent, reply)
	}
}

// parts holds the compressed parts of a document that other VMs have asked for.
type parts struct {
	mu         sync.Mutex
	version    int64
	compressed map[int][]byte
}

// part returns the compressed part of a document that begins at an offset.
func (p *parts) part(d *Document, offset int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != d.Version {
		p.version, p.compressed = d.Version, make(map[int][]byte)
	}
	part, known := p.compressed[offset]
	if !known {
		part = compress(d.Raw[offset:min(offset+partBytes, len(d.Raw))])
		p.compressed[offset] = part
	}
	return part
}

// setPart adds the requested part of a document to a reply, or the first part if the caller knows another version.
func (w *Watcher) setPart(r *PeerReply, d *Document, req *PeerRequest) {
	if req.PartOf == d.Version && req.Offset > 0 && req.Offset < len(d.Raw) && req.Offset%partBytes == 0 {
		r.Offset = req.Offset
	}
	r.Size, r.Part = len(d.Raw), w.parts.part(d, r.Offset)
}

func compress(raw []byte) []byte {
	var b bytes.Buffer
	// Neither the level nor a write to memory can fail.
	z, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = z.Write(raw)
	_ = z.Close()
	return b.Bytes()
}

func decompress(part []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(part)), partBytes))
}
