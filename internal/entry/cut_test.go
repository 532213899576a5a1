package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/respcheck/respchecktest"
)

// longUpload is the size in bytes of a request body that is still being written when its early response has arrived.
const longUpload = 1_300_000

// uploader sends a long upload and returns what it gets for a response, and an error if the response is not whole.
type uploader func(address, method string, chunked bool) (status int, body string, err error)

// uploaders returns callers of the protocols, by name.
func uploaders() map[string]uploader {
	return map[string]uploader{"HTTP/1.0": rawUpload("HTTP/1.0", ""), "HTTP/1.1": rawUpload("HTTP/1.1", ""), "HTTP/2": uploadOverHTTP2}
}

// rawUpload reads the response while it sends the request, as net/http ends the connection if it cannot send the request.
func rawUpload(protocol, header string) uploader {
	return func(address, method string, chunked bool) (int, string, error) {
		chunked = chunked && protocol != "HTTP/1.0" // which has no chunks
		head, body := upload{size: longUpload, chunked: chunked, header: header}.message()
		head = strings.Replace(head, "POST /x HTTP/1.1", method+" /x "+protocol, 1)
		c, err := net.Dial("tcp", address)
		if err != nil {
			return 0, "", err
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		var sending sync.WaitGroup
		sending.Go(func() { _, _ = io.WriteString(c, head+body) }) // fails when the connection has ended
		defer sending.Wait()
		return readWhole(c)
	}
}

// readWhole reads a response to its end.
func readWhole(c net.Conn) (int, string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func uploadOverHTTP2(address, method string, chunked bool) (int, string, error) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}, Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(method, "http://"+address+"/x", strings.NewReader(strings.Repeat("x", longUpload)))
	if err != nil {
		return 0, "", err
	}
	if chunked {
		req.ContentLength = -1
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// playUploads sends uploads of each framing and method and returns the number of those for which wanted is false.
func playUploads(t *testing.T, h *harness, send uploader, plays int, wanted func(status int, body string, err error) bool) (unwanted int64) {
	t.Helper()
	var failed atomic.Int64
	var running sync.WaitGroup
	slots := make(chan struct{}, concurrentUploads)
	for n := range plays {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			method := []string{http.MethodPost, http.MethodGet}[n%2]
			if status, body, err := send(h.addr, method, n/2%2 == 1); !wanted(status, body, err) {
				if failed.Add(1) == 1 {
					t.Logf("%s, chunked %t: status %d, %d bytes, %v", method, n/2%2 == 1, status, len(body), err)
				}
			}
		})
	}
	running.Wait()
	return failed.Load()
}

// Guards against a part of a response that a caller gets as a whole one: its upstream resets the connection while the request
// is being written, which only the write learns.
func TestResponseCutDuringAnUploadIsNotWhole(t *testing.T) {
	const plays = 60
	for protocol, send := range uploaders() {
		for _, end := range []respchecktest.End{respchecktest.Reset, respchecktest.Unread} {
			for _, status := range []int{200, 404, 500} {
				for _, size := range []int{0, 200} {
					t.Run(fmt.Sprintf("%s/%s/%d/%d bytes", protocol, end, status, size), func(t *testing.T) {
						if protocol == "HTTP/1.0" { // its callers wait until the rest of the upload has been discarded
							t.Parallel()
						}
						is := is.New(t)
						u := respchecktest.ServeEarly(t, fmt.Sprintf("HTTP/1.1 %d X\r\n\r\n%s", status, strings.Repeat("p", size)), end)
						h := newHarness(t, testRoute(), []string{u.Address})
						whole := playUploads(t, h, send, plays, func(got int, _ string, err error) bool { return err != nil || got != status })
						t.Logf("%d of %d were whole for the caller", whole, plays)
						is.Equal(whole, int64(0))
					})
				}
			}
		}
	}
}

// Guards against cutting off a response that its upstream ends in order while the request is still being written.
func TestEarlyResponseThatEndsInOrderIsWhole(t *testing.T) {
	const plays = 60
	for protocol, send := range uploaders() {
		for _, end := range []respchecktest.End{respchecktest.Finish, respchecktest.FinishThenReset} {
			for _, status := range []int{200, 404, 500} {
				for _, size := range []int{0, 200} {
					t.Run(fmt.Sprintf("%s/%s/%d/%d bytes", protocol, end, status, size), func(t *testing.T) {
						is := is.New(t)
						part := strings.Repeat("p", size)
						u := respchecktest.ServeEarly(t, fmt.Sprintf("HTTP/1.1 %d X\r\n\r\n%s", status, part), end)
						h := newHarness(t, testRoute(), []string{u.Address})
						cut := playUploads(t, h, send, plays, func(got int, body string, err error) bool {
							return err == nil && got == status && body == part
						})
						t.Logf("%d of %d were not whole for the caller", cut, plays)
						is.Equal(cut, int64(0))
					})
				}
			}
		}
	}
}
