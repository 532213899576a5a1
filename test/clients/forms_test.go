package clients

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowd is the number of clients of each form. The smallest machine has to bear 300.
	crowd = 60
	// memoryBound is half of the memory of the smallest machine (136 MB), which must suffice for 300 such clients,
	// and so for the crowd.
	memoryBound = 68 << 20
	// descriptorBound is the limit of the process itself, less four for the readiness check, a request and its upstream.
	descriptorBound = descriptorLimit - 4
	// attackTime is how long a crowd lasts; in it each client does its form as often as it can.
	attackTime = 3 * time.Second
)

// form is what one client sends on a new connection, until it fails or the connection's write deadline has passed.
type form func(c net.Conn, client int)

// attack lets a crowd of clients do a form and then checks the instance.
func attack(t *testing.T, clients int, f form) {
	t.Helper()
	i := deploy(t)
	end := time.Now().Add(attackTime)
	most := 0
	var crowd sync.WaitGroup
	for n := range clients {
		crowd.Go(func() {
			for time.Now().Before(end) && i.lives() {
				c, err := net.DialTimeout("tcp", i.caller, time.Until(end))
				if err != nil {
					time.Sleep(10 * time.Millisecond) // the instance may close its listener, but must not stay closed
					continue
				}
				_ = c.SetDeadline(end)
				f(c, n)
				_ = c.Close()
			}
		})
	}
	for time.Now().Before(end) {
		most = max(most, i.descriptors())
		time.Sleep(20 * time.Millisecond)
	}
	ready, body := get("http://" + i.admin + "/readyz") // before the clients have gone
	crowd.Wait()
	if !i.lives() {
		t.Fatal("the process has exited")
	}
	if ready != 200 {
		t.Errorf("/readyz: %d %s", ready, body)
	}
	if peak := i.peakMemory(t); peak > memoryBound {
		t.Errorf("peak memory %d KiB is over the bound of %d KiB", peak>>10, memoryBound>>10)
	} else {
		t.Logf("peak memory %d KiB, %d descriptors", peak>>10, most)
	}
	if most > descriptorBound {
		t.Errorf("%d descriptors are over the bound of %d", most, descriptorBound)
	}
	i.until(t, "an ordinary request is answered", func() bool { code, _ := get("http://" + i.caller + "/"); return code == 200 })
}

// hold keeps the connection open without reading, until its deadline or until the instance closes it.
func hold(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// send writes text and reports success.
func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// endless writes the start once and then part until writing fails.
func endless(start, part string) form {
	part = strings.Repeat(part, max(1, 4096/len(part)))
	return func(c net.Conn, _ int) {
		for ok := send(c, start); ok; ok = send(c, part) {
		}
	}
}

// unread writes text until writing fails and reads nothing.
func unread(text string) form {
	return func(c net.Conn, _ int) {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		for send(c, text) {
		}
	}
}

// held writes text once and keeps the connection.
func held(text string) form {
	return func(c net.Conn, _ int) {
		send(c, text)
		hold(c)
	}
}

// repeated writes text until writing fails and reads the answers.
func repeated(text string) form {
	return func(c net.Conn, _ int) {
		go hold(c)
		for send(c, text) {
		}
	}
}

// head is the start of a request.
const head = "GET / HTTP/1.1\r\nHost: x\r\n"

// shortLines returns header lines of different names with the given total size.
func shortLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// Guards against clients whose HTTP/1.1 requests exhaust the memory or descriptors of an instance.
func TestHTTP1(t *testing.T) {
	for _, c := range []struct {
		name    string
		clients int
		form    form
	}{
		{"one header line without end", crowd, endless(head+"X: ", "a")},
		{"request line without end", crowd, endless("GET /", "a")},
		{"header section without end", crowd, endless(head, "X-Some-Name: some value\r\n")},
		{"header section over the limit", crowd, repeated(head + "X: " + strings.Repeat("a", 200<<10) + "\r\n\r\n")},
		{"empty lines before a request", crowd, endless("", "\r\n")},
		{"empty lines after a request", crowd, endless("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "\r\n")},
		{"short lines unfinished", crowd, held(head + shortLines(64000))},
		{"short lines of one name unfinished", crowd, held(head + strings.Repeat("a:\r\n", 16000))},
		{"short lines finished", crowd, repeated(head + shortLines(60000) + "\r\n")},
		{"short lines without end", crowd, endless(head, "a:\n")},
		{"lines without colon", crowd, endless(head, "a\r\n")},
		{"folded lines", crowd, endless(head+"X: a\r\n", " a\r\n")},
		{"empty names", crowd, endless(head, ":\r\n")},
		{"bytes above 127", crowd, endless(head, "\xff\xfe: \xfd\r\n")},
		{"trailers without end", crowd, endless("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n")},
		{"trailers announced", crowd, repeated("POST / HTTP/1.1\r\nHost: x\r\nTrailer: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a:\r\n", 900) + "\r\n")},
		{"slow readers of long answers", crowd, unread("GET /bytes?size=67108864 HTTP/1.1\r\nHost: x\r\n\r\n")},
		{"pipelined requests", crowd, unread(strings.Repeat(head+"\r\n", 500))},
		{"unfinished bodies", crowd, held("POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("a", 59000))},
		{"unfinished long bodies", crowd, held("POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 67108864\r\n\r\n" + strings.Repeat("a", 1<<20))},
		// More clients than the process has descriptors, since only the number of connections counts.
		{"connections opened and left", descriptorLimit + 40, held("")},
		{"connections left after a request", descriptorLimit + 40, held(head + "\r\n")},
		{"connections left within a request", descriptorLimit + 40, held(head)},
	} {
		t.Run(c.name, func(t *testing.T) { attack(t, c.clients, c.form) })
	}
}
