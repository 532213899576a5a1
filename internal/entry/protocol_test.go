package entry

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/internal/tlsconf/tlstest"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Guards against HTTP/2 callers that are not served, over TLS or in plain text.
func TestHTTP2(t *testing.T) {
	up := serveUpstream(t, standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4}))
	files := tlstest.Files(t, "entry")
	files.CA = "" // with a CA, callers would need certificates
	secure := newHarness(t, testRoute(), []string{up}, withSettings(func(s *settings.Settings) {
		s.Callers.Plaintext, s.Callers.TLS = false, &files
	}))
	plain := newHarness(t, testRoute(), []string{up})
	h2, h2c := new(http.Protocols), new(http.Protocols)
	h2.SetHTTP2(true)
	h2c.SetUnencryptedHTTP2(true)
	for name, c := range map[string]struct {
		url string
		p   *http.Protocols
	}{"tls": {"https://" + secure.addr, h2}, "plain": {plain.url, h2c}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := &http.Client{Transport: &http.Transport{Protocols: c.p, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
			defer client.CloseIdleConnections()
			resp, err := client.Get(fmt.Sprintf("%s/bytes?size=%d", c.url, downloadSize))
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.ProtoMajor, 2)
			data, err := io.ReadAll(resp.Body)
			checkDownload(t, reply{body: string(data), err: err}, 0, downloadSize)
			sent, err := client.Post(c.url+"/upload", "", strings.NewReader(strings.Repeat("x", downloadSize)))
			is.NoErr(err)
			defer sent.Body.Close()
			data, _ = io.ReadAll(sent.Body)
			is.True(strings.Contains(string(data), digestOf(downloadSize)))
		})
	}
}

// Guards against serving callers without a certificate when the settings require one.
func TestCallersNeedACertificate(t *testing.T) {
	is := is.New(t)
	up := serveUpstream(t, standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4}))
	files := tlstest.Files(t, "entry")
	h := newHarness(t, testRoute(), []string{up}, withSettings(func(s *settings.Settings) {
		s.Callers.Plaintext, s.Callers.TLS = false, &files
	}))
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	is.NoErr(err)
	for _, c := range []struct {
		certificates []tls.Certificate
		served       bool
	}{{nil, false}, {[]tls.Certificate{pair}, true}} {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, Certificates: c.certificates}}}
		resp, err := client.Get("https://" + h.addr + "/")
		is.Equal(err == nil, c.served)
		if err == nil {
			is.NoErr(resp.Body.Close())
		}
		client.CloseIdleConnections()
	}
}

// zeros is an infinite reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// peakHeap samples the heap in use until stop is called, which returns the maximum.
func peakHeap() (stop func() uint64) {
	done, result := make(chan struct{}), make(chan uint64)
	go func() {
		var peak uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(done); return <-result }
}

// Guards against buffering complete bodies in memory.
func TestLargeBodiesInBoundedMemory(t *testing.T) {
	size := int64(1 << 30)
	if testing.Short() {
		size = 64 << 20
	}
	const bound = 32 << 20
	route := testRoute()
	// The response to an upload starts after its last byte. On a busy machine that takes longer than the
	// deadline of the other tests, which this test does not check.
	route.Deadline = table.Duration(10 * time.Minute)
	h := newHarness(t, route, []string{serveUpstream(t, standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4}))})
	transfers := map[string]func() (int64, error){
		"download": func() (int64, error) {
			resp, err := h.client.Get(fmt.Sprintf("%s/bytes?size=%d", h.url, size))
			if err != nil {
				return 0, err
			}
			defer resp.Body.Close()
			return io.Copy(io.Discard, resp.Body)
		},
		"upload": func() (int64, error) {
			resp, err := h.client.Post(h.url+"/upload", "", io.LimitReader(zeros{}, size))
			if err != nil {
				return 0, err
			}
			defer resp.Body.Close()
			var got int64
			_, err = fmt.Fscanf(resp.Body, `{"bytes":%d`, &got)
			return got, err
		},
	}
	h.client.Timeout = 0
	for name, transfer := range transfers {
		t.Run(name, func(t *testing.T) {
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			stop := peakHeap()
			n, err := transfer()
			grown := int64(stop()) - int64(before.HeapInuse)
			t.Logf("%s of %d MiB: heap grew by at most %.1f MiB", name, size>>20, float64(grown)/(1<<20))
			if err != nil || n != size {
				t.Fatalf("%d of %d bytes, error %v", n, size, err)
			}
			if grown > bound {
				t.Fatalf("the heap grew by %d bytes", grown)
			}
		})
	}
}

// FuzzRawRequest sends arbitrary bytes to the entry. It guards against crashes and
// request smuggling: the upstream must never receive more requests than the input has
// request lines. Each input is sent from its own loopback address, so that a request
// which reaches the upstream late is not counted for the next input.
func FuzzRawRequest(f *testing.F) {
	var seen sync.Map
	h := newHarness(f, testRoute(), []string{serveUpstream(f, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		from := strings.Split(r.Header.Get("X-Forwarded-For"), ", ")
		n, _ := seen.LoadOrStore(from[len(from)-1], new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
	}))})
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "GET  HTTP/1.1\r\n",
	} {
		f.Add([]byte(s))
	}
	var inputs atomic.Uint32
	f.Fuzz(func(t *testing.T, data []byte) {
		n := inputs.Add(1)
		from := net.IPv4(127, byte(n>>14)|1, byte(n>>7), byte(n<<1)|1)
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: from}}).Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(data)
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		if got, ok := seen.LoadAndDelete(from.String()); ok && got.(*atomic.Int64).Load() > int64(strings.Count(string(data), "HTTP/1.")) {
			t.Fatalf("%d requests reached the upstream", got.(*atomic.Int64).Load())
		}
	})
}
