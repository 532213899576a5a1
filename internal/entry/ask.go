package entry

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/respcheck"
	"github.com/turmericsail/turmericsail/pkg/table"
)

var errForeignResponse = fault.New(fault.Unavailable, "the response belongs to an earlier request", "ask on another connection")

// Ask sends a GET request for path to an upstream and returns the status and header
// of its response, unless that is malformed. It uses the same connection pool as requests of callers, so that
// a request that follows finds a connection known to work. A response with a request ID
// fails: it belongs to an earlier request, and the own one would be read as the response
// to the next request.
func (e *Entry) Ask(ctx context.Context, pool *table.Pool, u table.Upstream, path string) (int, http.Header, error) {
	conns := e.conns.forUpstream(pool, u.Address)
	for try := 1; ; try++ {
		conn, err := conns.get(ctx)
		if err != nil {
			return 0, nil, err
		}
		req := &http.Request{
			Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: u.Address, Path: path}, Host: u.Address,
			Header: http.Header{"User-Agent": nil}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		}
		resp, _, err := conn.roundTrip(req.WithContext(ctx), nil)
		if err == nil && e.proto.EchoesRequestID && resp.Header.Get(e.proto.RequestID) != "" {
			conns.discard(conn)
			return 0, nil, errForeignResponse
		}
		if err == nil {
			whole, err := drain(resp.Body)
			if whole && !resp.Close {
				_ = resp.Body.Close()
				conns.put(conn)
			} else {
				conns.discard(conn)
			}
			if err != nil {
				return 0, nil, err
			}
			return resp.StatusCode, resp.Header, nil
		}
		reused := conn.reused
		conns.discard(conn)
		if !reused || try >= maxStaleConns || ctx.Err() != nil || errors.Is(err, respcheck.ErrMalformed) {
			return 0, nil, err
		}
	}
}
