package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got.
type answer struct {
	status   int // 0 if the connection ended without a complete answer
	body     string
	header   http.Header
	err      error
	sent, at time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer after %.3f s: %v", a.at.Sub(a.sent).Seconds(), a.err)
	}
	return fmt.Sprintf("%d after %.3f s", a.status, a.at.Sub(a.sent).Seconds())
}

// ask sends one request on a new connection and waits for its answer until the deadline of the request.
func (r *record) ask(address, method, id, path, body string, deadline time.Duration) (a answer) {
	a.sent = time.Now()
	defer func() {
		a.at = time.Now()
		r.line("answer to %s: %s", id, a)
	}()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	return r.askOn(conn, method, id, path, body, deadline)
}

// askOn is ask on an open connection.
func (r *record) askOn(conn net.Conn, method, id, path, body string, deadline time.Duration) (a answer) {
	a.sent = time.Now()
	_ = conn.SetDeadline(a.sent.Add(deadline))
	r.line("send %s %s %s", id, method, path)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", method, path, id, deadline.Milliseconds())
	if body != "" || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, a.err = io.WriteString(conn, head+"\r\n"+body); a.err != nil {
		return a
	}
	req := &http.Request{Method: method}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		a.err = err
		return a
	}
	var text strings.Builder
	if _, a.err = io.Copy(&text, resp.Body); a.err != nil {
		return a
	}
	a.status, a.body, a.header = resp.StatusCode, text.String(), resp.Header
	return a
}
