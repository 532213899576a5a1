package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
)

const downloadSize = 1 << 20

// checkDownload fails the test unless the body is the test pattern of size bytes from offset on.
func checkDownload(t *testing.T, r reply, offset, size int64) {
	t.Helper()
	if r.err != nil || int64(len(r.body)) != size {
		t.Fatalf("got %d of %d bytes, error %v", len(r.body), size, r.err)
	}
	if at := standin.CheckPattern([]byte(r.body), offset); at >= 0 {
		t.Fatalf("byte %d is wrong", at)
	}
}

// Guards against a download that fails, repeats or skips bytes when its upstream
// truncates or stalls it, and against a resumption that is visible to the caller.
func TestDownloadIsResumed(t *testing.T) {
	for name, c := range map[string]struct {
		faults standin.UpstreamFaults
		rng    string
		offset int64
	}{
		"cut":            {standin.UpstreamFaults{CutAfter: 300_000}, "", 0},
		"stall":          {standin.UpstreamFaults{StallAfter: 300_000}, "", 0},
		"cut of a range": {standin.UpstreamFaults{CutAfter: 300_000}, "bytes=1000-", 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bad, good := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4}), standin.NewUpstream(standin.UpstreamConfig{ID: "b", Slots: 4})
			bad.SetFaults(c.faults)
			h := newHarness(t, testRoute(), []string{serveUpstream(t, bad), serveUpstream(t, good)},
				withPorts(func(p *Ports) { p.Placement = &inOrder{} }), withTiming(func(x *timing) { x.responseStall = 100 * time.Millisecond }))
			header := []string{}
			if c.rng != "" {
				header = []string{"Range", c.rng}
			}
			r := h.do("GET", fmt.Sprintf("/bytes?size=%d", downloadSize), nil, header...)
			checkDownload(t, r, c.offset, downloadSize-c.offset)
			is.Equal(good.Counts().Requests, uint64(1))
		})
	}
}

// Guards against joining parts of different representations: any change of
// validator, range or length must abort the response.
func TestResumptionChecksTheParts(t *testing.T) {
	head := func(status, etag, contentRange string, length int) string {
		return fmt.Sprintf("HTTP/1.1 %s X\r\nEtag: %s\r\nContent-Range: %s\r\nAccept-Ranges: bytes\r\nContent-Length: %d\r\n\r\n", status, etag, contentRange, length)
	}
	for name, c := range map[string]struct {
		first, second string
		complete      bool
	}{
		"right":           {head("200", `"v1"`, "", 10), head("206", `"v1"`, "bytes 4-9/10", 6) + "567890", true},
		"other etag":      {head("200", `"v1"`, "", 10), head("206", `"v2"`, "bytes 4-9/10", 6) + "567890", false},
		"complete answer": {head("200", `"v1"`, "", 10), head("200", `"v1"`, "", 10) + "1234567890", false},
		"other start":     {head("200", `"v1"`, "", 10), head("206", `"v1"`, "bytes 3-9/10", 7) + "4567890", false},
		"other length":    {head("200", `"v1"`, "", 10), head("206", `"v1"`, "bytes 4-9/11", 6) + "567890", false},
		"weak validator":  {head("200", `W/"v1"`, "", 10), head("206", `W/"v1"`, "bytes 4-9/10", 6) + "567890", false},
		"no validator":    {head("200", "", "", 10), head("206", "", "bytes 4-9/10", 6) + "567890", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, testRoute(), []string{newAnsweringUpstream(t, c.first+"1234").addr, newAnsweringUpstream(t, c.second).addr},
				withPorts(func(p *Ports) { p.Placement = &inOrder{} }))
			r := h.do("GET", "/", nil)
			is.Equal(r.err == nil, c.complete)
			if c.complete {
				is.Equal(r.body, "1234567890")
				is.Equal(r.status, http.StatusOK)
			}
		})
	}
}

// Guards against a slow download that is interrupted by a table change or a graceful shutdown.
func TestSlowDownloadOutlivesTableChangeAndShutdown(t *testing.T) {
	is := is.New(t)
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)})
	const size, rate = 400_000, 400_000
	resp, err := h.client.Get(fmt.Sprintf("%s/bytes?size=%d&rate=%d", h.url, size, rate))
	is.NoErr(err)
	defer resp.Body.Close()
	h.pool.Upstreams = nil // removes the upstream from the tables
	h.apply()
	h.entry.conns.apply(h.tables.Snapshot().Tables)
	h.entry.SetLeaving()
	refused := h.do("GET", "/", nil)
	is.Equal(refused.status, 503)
	stopped := make(chan error, 1)
	go func() { stopped <- h.entry.Shutdown(t.Context()) }()
	data, err := io.ReadAll(resp.Body)
	checkDownload(t, reply{body: string(data), err: err}, 0, size)
	is.NoErr(<-stopped)
	is.Equal(h.entry.Running(), int64(0))
	is.True(h.do("GET", "/", nil).err != nil) // no longer accepting
}

// Guards against callers that keep using a connection of a leaving instance.
func TestLeavingAsksForAnotherConnection(t *testing.T) {
	is := is.New(t)
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)})
	resp, err := h.client.Get(h.url)
	is.NoErr(err)
	is.Equal(resp.Close, false)
	_, _ = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	h.entry.SetLeaving()
	resp, err = h.client.Get(h.url)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.Close, true)
}
