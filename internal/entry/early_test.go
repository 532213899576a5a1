package entry

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that hold their connections by not sending the rest of a body after an early response.
func TestRestOfABodyAfterTheResponseIsBounded(t *testing.T) {
	const bound = 10 * time.Second
	upstream := newEarlyUpstream(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok").addr
	head, body := upload{size: 200_000}.message()
	for name, sends := range map[string]func(net.Conn) error{
		"nothing": func(net.Conn) error { return nil },
		"slowly": func(c net.Conn) error {
			_, err := io.WriteString(c, "x")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, testRoute(), []string{upstream})
			caller := dialCaller(t, h.addr)
			_, err := io.WriteString(caller, head+body[:1000])
			is.NoErr(err)
			is.Equal(caller.status(), 200)
			for end := time.Now().Add(bound); h.entry.CallerUse().Connections > 0; time.Sleep(slowPause) {
				is.True(time.Now().Before(end))
				_ = sends(caller) // fails when the connection is closed
			}
		})
	}
}

// Guards against a reset after an early response that is no error, on a connection that the caller keeps open.
func TestEarlySuccessOnAKeptConnectionIsNotFollowedByAReset(t *testing.T) {
	h := newHarness(t, testRoute(), []string{newEarlyUpstream(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok").addr})
	h.expectNoReset(t, 200, false, slices.DeleteFunc(uploads(""), func(u upload) bool { return u.closes || u.size <= replayLimit }))
}
