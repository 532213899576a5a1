package respchecktest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericsail/turmericsail/internal/socket"
)

// End is how a server ends a connection after its response.
type End string

// Ends of connections.
const (
	// Reset ends the connection with a reset (SO_LINGER 0).
	Reset End = "reset"
	// Unread closes the connection with unread bytes of the request, which the system answers with a reset. Without such bytes
	// it is Reset.
	Unread End = "close with unread bytes"
	// Finish ends the server's side and discards what still arrives.
	Finish End = "end"
	// FinishThenReset ends the server's side, and resets the connection a moment later.
	FinishThenReset End = "end, then reset"
)

// resetDelay is the time between both parts of FinishThenReset.
const resetDelay = 2 * time.Millisecond

// readAhead is the size in bytes of the buffer for requests. It is the smallest one, so that most of what arrives stays unread.
const readAhead = 16

// EarlyServer sends a response as soon as it has the start of the body of a request.
type EarlyServer struct {
	Address  string // host:port
	Requests atomic.Int64
}

// ServeEarly starts a server on loopback that ends with the test. It does not wait for the rest of the request, sends the response as it
// is and ends the connection.
func ServeEarly(t testing.TB, response string, end End) *EarlyServer {
	t.Helper()
	s := &EarlyServer{}
	s.Address = ServeConns(t, func(c *net.TCPConn) { s.serve(c, response, end) })
	return s
}

func (s *EarlyServer) serve(c *net.TCPConn, response string, end End) {
	in := bufio.NewReaderSize(c, readAhead)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	if _, err := in.ReadByte(); err != nil { // the rest of what arrives with it stays unread
		return
	}
	s.Requests.Add(1)
	if _, err := io.WriteString(c, response); err != nil {
		return
	}
	switch end {
	case Unread:
		if raw, err := c.SyscallConn(); err == nil && socket.HasUnread(raw) {
			return
		}
		fallthrough
	case Reset:
		_ = c.SetLinger(0) // fails only on a closed connection
	case Finish:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case FinishThenReset:
		_ = c.CloseWrite()
		time.Sleep(resetDelay)
		_ = c.SetLinger(0)
	}
}
