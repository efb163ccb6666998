package connection

import "bytes"

const (
	// lineBytes is what a header line takes once it is parsed, beside its text: an entry of a map, a list and two strings.
	lineBytes = 128
	// textCopies is how many times the text of the headers is held while they are parsed.
	textCopies = 2
	// headBytes is up to how much parsed headers take of what every connection holds anyway.
	headBytes = 4 << 10
	// serverBufferBytes is how much net/http may read beyond a request.
	serverBufferBytes = 4 << 10
)

// head follows the first line and the headers of a request on the wire.
type head struct {
	// started is true once a byte other than a line end has been received, ended once the empty line after the headers has.
	started, ended bool
	// lineBytes is the length of the current line so far, with its carriage returns; lineReturns counts those.
	lineBytes, lineReturns int
	// bytes and lines are how many have been received.
	bytes, lines int
}

// add follows the next bytes of a connection and returns how many of them belong to the headers.
func (h *head) add(p []byte) int {
	before := len(p)
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
	h.bytes += before - len(p)
	return before - len(p)
}

// countLines adds the lines at the end of p, as many as the server's buffer may hold, without following them.
func (h *head) countLines(p []byte) {
	h.lines += bytes.Count(p[max(len(p)-serverBufferBytes, 0):], []byte{'\n'})
}

// parsedBytes returns how much memory the headers take once they are parsed, beyond what every connection holds.
func (h *head) parsedBytes() int64 {
	return max(int64(h.lines)*lineBytes+int64(h.bytes)*textCopies-headBytes, 0)
}

func (h *head) endLine() {
	h.lines++
	h.ended = h.started && (h.lineBytes == 0 || h.lineBytes == 1 && h.lineReturns == 1)
	h.lineBytes, h.lineReturns = 0, 0
}
