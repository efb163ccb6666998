package rpc

import (
	"bytes"
	"net"
	netrpc "net/rpc"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/finding"
)

// wireBytes is a connection that holds what a peer has sent.
type wireBytes struct {
	net.Conn
	*bytes.Reader
}

func (w wireBytes) Read(p []byte) (int, error) { return w.Reader.Read(p) }

// Whatever a peer sends, this process neither panics nor holds the memory that a length only claims.
func FuzzServerCodec(f *testing.F) {
	type body struct {
		Name  string
		Parts map[string][]int64
		Fault *Fault
	}
	for _, b := range []any{
		Envelope[body]{Body: body{"a", map[string][]int64{"k": {1}}, &Fault{Findings: finding.List{{Path: "p"}}}}},
		nil, "text",
		[]byte{0xdf, 0xff, 0xff, 0xff, 0xff},
	} {
		head, _ := msgpack.Marshal(&header{Method: "a.Call", Seq: 1})
		tail, _ := msgpack.Marshal(b)
		f.Add(append(head, tail...))
	}
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := &serverCodec{newCodec(wireBytes{Reader: bytes.NewReader(raw)})}
		for {
			var r netrpc.Request
			if c.ReadRequestHeader(&r) != nil || c.ReadRequestBody(&Envelope[body]{}) != nil {
				return
			}
		}
	})
}
