// Package respchecktest has servers that send broken responses, for the tests of everything that reads responses.
package respchecktest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Responses returns malformed responses with the given lines in their header and the given body, by what is malformed. Each
// line ends with CR and LF.
func Responses(lines, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := "0\r\n"
	if body != "" {
		chunks = fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	}
	return map[string]string{
		"status 000":                    "HTTP/1.1 000 X\r\n" + lines + length + "\r\n" + body,
		"status 000 without a body":     "HTTP/1.1 000 X\r\n" + lines + "Content-Length: 0\r\n\r\n",
		"status 999":                    "HTTP/1.1 999 X\r\n" + lines + length + "\r\n" + body,
		"status 600 without a body":     "HTTP/1.1 600 X\r\n" + lines + "Content-Length: 0\r\n\r\n",
		"blank in a name":               "HTTP/1.1 200 OK\r\n" + lines + "X Y: 1\r\n" + length + "\r\n" + body,
		"blank in a name, no body":      "HTTP/1.1 200 OK\r\n" + lines + "X Y: 1\r\nContent-Length: 0\r\n\r\n",
		"blank after Content-Length":    "HTTP/1.1 200 OK\r\n" + lines + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body)) + body,
		"blank after Transfer-Encoding": "HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"NUL in a name":                 "HTTP/1.1 200 OK\r\n" + lines + "X\x00Y: 1\r\n" + length + "\r\n" + body,
		"blank in a 1xx response":       "HTTP/1.1 103 X\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + lines + length + "\r\n" + body,
		"blank in a trailer":            "HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "X Y: 1\r\n\r\n",
	}
}

// Server sends the same response to each request and keeps its connections open.
type Server struct {
	Address  string // host:port
	Requests atomic.Int64
	Conns    atomic.Int64
}

// Serve starts a server on loopback that ends with the test.
func Serve(t testing.TB, response string) *Server {
	t.Helper()
	s := &Server{}
	s.Address = ServeConns(t, func(c *net.TCPConn) { s.Conns.Add(1); s.serve(c, response) })
	return s
}

// ServeConns accepts connections on loopback until the test ends, serves each and closes it, and returns its host:port.
func ServeConns(t testing.TB, serve func(*net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); serve(c.(*net.TCPConn)) }()
		}
	}()
	return l.Addr().String()
}

func (s *Server) serve(c net.Conn, response string) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.Requests.Add(1)
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}
