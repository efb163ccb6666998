package connection

import (
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"turmericgap/metric"
)

// Guards against connections between processes that keep out new ones, and against the loss of one that is in use.
func TestSilentPeerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
		l := ListenPeers(p, NewBudget("test", Limits{Connections: 2, Bytes: 1 << 20}, metric.New()))
		defer l.Close()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(conn, conn) }()
			}
		}()
		used, silent := p.dial(), p.dial()
		echo := func(conn net.Conn) error {
			if _, err := conn.Write([]byte{1}); err != nil {
				return err
			}
			_, err := conn.Read(make([]byte, 1))
			return err
		}
		is.NoErr(echo(silent))
		is.NoErr(echo(used))
		third := p.dial()
		is.NoErr(echo(third))
		is.NoErr(echo(used))
		is.True(echo(silent) != nil)
		used.Close()
		third.Close()
	})
}
