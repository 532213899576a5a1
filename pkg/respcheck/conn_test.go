package respcheck_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/respcheck"
)

// connect returns the two ends of a connection on loopback.
func connect(t *testing.T) (conn *respcheck.Conn, peer *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	server, err := l.Accept()
	is.NoErr(err)
	conn = respcheck.NewConn(client)
	t.Cleanup(func() { _ = conn.Close(); _ = server.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
	return conn, server.(*net.TCPConn)
}

// fill writes until an error.
func fill(w io.Writer) error {
	p := make([]byte, 64<<10)
	for {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
}

// Guards against an orderly end on a connection whose reset only a write has seen.
func TestResetThatAWriteHasSeenIsNoEnd(t *testing.T) {
	is := is.New(t)
	conn, peer := connect(t)
	_, err := peer.Write([]byte("part"))
	is.NoErr(err)
	is.NoErr(peer.SetLinger(0))
	is.NoErr(peer.Close())
	written := make(chan error, 1)
	go func() { written <- fill(conn) }()
	time.Sleep(20 * time.Millisecond) // the write has the error
	for range 2 {
		data, err := io.ReadAll(conn)
		is.True(errors.Is(err, syscall.ECONNRESET))
		is.True(len(data) == 0 || string(data) == "part")
	}
	is.True(errors.Is(<-written, syscall.ECONNRESET))
}

// Guards against the same while the write is still in progress: the system has given it the error, which is not recorded yet.
func TestResetDuringAWriteIsNoEnd(t *testing.T) {
	const plays = 2000
	orderly, byWrite := 0, 0
	for range plays {
		conn, peer := connect(t)
		written := make(chan error, 1)
		go func() { written <- fill(conn) }()
		go func() {
			_, _ = peer.Read(make([]byte, 1))
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}()
		if _, err := io.Copy(io.Discard, conn); err == nil {
			orderly++
		}
		if errors.Is(<-written, syscall.ECONNRESET) {
			byWrite++
		}
		_ = conn.Close()
	}
	t.Logf("%d of %d resets looked orderly; the write had the error in %d", orderly, plays, byWrite)
	if orderly > 0 {
		t.Fail()
	}
	if runtime.GOOS == "linux" && byWrite == 0 {
		t.Error("no write had the error of a reset")
	}
}

// Guards against taking an orderly end for a reset because a write fails after it, and against an end that waits for a write.
func TestOrderlyEndBesideAWrite(t *testing.T) {
	for name, resets := range map[string]bool{"blocked write": false, "reset after the end": true} {
		t.Run(name, func(t *testing.T) {
			for range 200 {
				is := is.New(t)
				conn, peer := connect(t)
				written := make(chan error, 1)
				go func() { written <- fill(conn) }()
				_, err := peer.Write([]byte("whole"))
				is.NoErr(err)
				is.NoErr(peer.CloseWrite())
				if resets {
					time.Sleep(time.Millisecond) // the end arrives
					is.NoErr(peer.SetLinger(0))
					is.NoErr(peer.Close())
					time.Sleep(time.Millisecond) // the write fails
				}
				start := time.Now()
				data, err := io.ReadAll(conn)
				is.NoErr(err)
				is.Equal(string(data), "whole")
				is.True(time.Since(start) < time.Second)
				if resets {
					is.True(errors.Is(<-written, syscall.EPIPE) || runtime.GOOS != "linux")
				}
				_ = conn.Close()
			}
		})
	}
}

// Guards against a whole response that is lost because the connection is closed after a failed write, as net/http does.
func TestFailedWriteLeavesTheResponse(t *testing.T) {
	is := is.New(t)
	conn, peer := connect(t)
	go func() { _ = fill(conn); _ = conn.Close() }()
	_, err := peer.Write([]byte("whole"))
	is.NoErr(err)
	is.NoErr(peer.CloseWrite())
	time.Sleep(time.Millisecond) // the end arrives
	is.NoErr(peer.SetLinger(0))
	is.NoErr(peer.Close())
	time.Sleep(20 * time.Millisecond) // the write fails
	data, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(data), "whole")
}

// Guards against a write that loses, repeats or reorders bytes when the system takes a part of them.
func TestWriteOfMoreThanTheSystemTakes(t *testing.T) {
	is := is.New(t)
	conn, peer := connect(t)
	text := make([]byte, 16<<20)
	for i := range text {
		text[i] = byte(i * 7 >> 8)
	}
	go func() {
		n, err := conn.Write(text)
		if n != len(text) || err != nil {
			t.Errorf("%d bytes, %v", n, err)
		}
		_ = conn.Close()
	}()
	time.Sleep(20 * time.Millisecond) // the buffers are full
	data, err := io.ReadAll(peer)
	is.NoErr(err)
	is.True(bytes.Equal(data, text))
}

// Guards against a write that ignores its deadline or the close of the connection.
func TestBlockedWriteEnds(t *testing.T) {
	is := is.New(t)
	conn, _ := connect(t)
	is.NoErr(conn.SetWriteDeadline(time.Now().Add(20 * time.Millisecond)))
	var timeout net.Error
	is.True(errors.As(fill(conn), &timeout) && timeout.Timeout())
	is.NoErr(conn.SetWriteDeadline(time.Time{}))
	time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
	is.True(errors.Is(fill(conn), net.ErrClosed))
}
