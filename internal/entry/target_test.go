package entry

import (
	"bufio"
	"io"
	"net"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// newHeadRecorder starts an upstream that records the lines of each request as they arrive.
func newHeadRecorder(t testing.TB) (address string, heads <-chan []string) {
	received := make(chan []string, 100)
	u := newRawUpstream(t, func(_ int64, c net.Conn) {
		in := bufio.NewReader(c)
		for {
			var head []string
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				if line = strings.TrimSuffix(line, "\r\n"); line == "" {
					break
				}
				head = append(head, line)
			}
			received <- head
			if _, err := io.WriteString(c, responseText(200, "")); err != nil {
				return
			}
		}
	})
	return u.addr, received
}

// Guards against a request whose path or query reaches the upstream with other bytes than its caller sent.
func TestTargetIsForwardedAsSent(t *testing.T) {
	address, heads := newHeadRecorder(t)
	h := newHarness(t, testRoute(), []string{address})
	for _, target := range []string{
		"/a/b", "/a%2Fb", "/a%2fb%41", "/a//b/", "/a/./b/../c", "/a|b", "/a^b", "/a{b}", `/a"b`, "/a`b", "/a<b>", "/a\\b", "/a[b]", "/caf\xc3\xa9", "/\xff",
		"/a;b=1,2", "/a:b@c!$&'()*+", "/a#b", "/a?", "/a?x=a|b&y=%zz", "/a?x=\xc3\xa9{}\"", "/?", "//a", "//a//", "//a|b", "/%7C", "/a|b?c|d",
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			answer := h.sendRaw("GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			if strings.Contains(answer, " 400 ") {
				is.True(strings.HasPrefix(target, "//")) // refused, not changed
				return
			}
			is.Equal((<-heads)[0], "GET "+target+" HTTP/1.1")
		})
	}
}

// Guards against a request ID that the upstream, the caller or the log gets in place of the one that the caller sent.
func TestRequestIDIsForwardedAsSent(t *testing.T) {
	address, heads := newHeadRecorder(t)
	h := newHarness(t, testRoute(), []string{address})
	for name, id := range map[string]string{"long": strings.Repeat("x", 4000), "with a space": "a b", "with bytes above 127": "caf\xc3\xa9", "short": "1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := h.sendRaw("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + HeaderRequestID + ": " + id + "\r\n\r\n")
			is.True(strings.Contains(answer, "\r\n"+HeaderRequestID+": "+id+"\r\n"))
			is.True(slices.Contains(<-heads, HeaderRequestID+": "+id))
		})
	}
}
