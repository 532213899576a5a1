package standin

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
)

// Client returns an HTTP client that calls the store within this process, without a
// network, so that tests in a testing/synctest bubble run in virtual time.
func (s *Store) Client() *http.Client { return &http.Client{Transport: inProcessTransport{s}} }

type inProcessTransport struct{ handler http.Handler }

var _ http.RoundTripper = inProcessTransport{}

var errAborted = errors.New("connection closed before the answer")

// RoundTrip implements http.RoundTripper.
func (p inProcessTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t := httptrace.ContextClientTrace(r.Context()); t != nil && t.GotConn != nil {
		t.GotConn(httptrace.GotConnInfo{})
	}
	server := r.Clone(r.Context())
	if server.Body == nil {
		server.Body = http.NoBody
	}
	result := make(chan *http.Response, 1)
	go func() { result <- p.serve(server) }()
	select {
	case resp := <-result:
		if resp == nil {
			return nil, errAborted
		}
		resp.Request = r
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// serve returns nil when the handler aborted the connection.
func (p inProcessTransport) serve(r *http.Request) (resp *http.Response) {
	w := &responseRecorder{header: http.Header{}, status: http.StatusOK}
	defer func() {
		if e := recover(); e != nil {
			if e != http.ErrAbortHandler {
				panic(e)
			}
			resp = nil
		}
	}()
	p.handler.ServeHTTP(w, r)
	return &http.Response{
		StatusCode: w.status, Status: http.StatusText(w.status), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: w.header, Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()),
	}
}

type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *responseRecorder) Header() http.Header         { return w.header }
func (w *responseRecorder) WriteHeader(status int)      { w.status = status }
func (w *responseRecorder) Write(b []byte) (int, error) { return w.body.Write(b) }
