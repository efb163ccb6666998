package connection

import "bytes"

// head follows the first line and the headers of a request on the wire.
type head struct {
	// started is true once a byte other than a line end has been received, ended once the empty line after the headers has.
	started, ended bool
	// lineBytes is the length of the current line so far, with its carriage returns; lineReturns counts those.
	lineBytes, lineReturns int
}

// add follows the next bytes of a connection.
func (h *head) add(p []byte) {
	for len(p) > 0 && !h.ended {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line, p = p[:end], p[end+1:]
		} else {
			p = nil
		}
		h.lineBytes += len(line)
		h.lineReturns += bytes.Count(line, []byte{'\r'})
		h.started = h.started || h.lineBytes > h.lineReturns
		if end >= 0 {
			h.endLine()
		}
	}
}

func (h *head) endLine() {
	h.ended = h.started && (h.lineBytes == 0 || h.lineBytes == 1 && h.lineReturns == 1)
	h.lineBytes, h.lineReturns = 0, 0
}
