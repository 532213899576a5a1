package entry

import (
	"context"
	"net/http"
	"net/url"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Ask sends a GET request for path to an upstream and returns the status and header
// of its response. It uses the same connection pool as requests of callers, so that
// a request that follows finds a connection known to work.
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
		resp, _, err := conn.roundTrip(req.WithContext(ctx))
		if err == nil {
			if drain(resp.Body) && !resp.Close {
				_ = resp.Body.Close()
				conns.put(conn)
			} else {
				conns.discard(conn)
			}
			return resp.StatusCode, resp.Header, nil
		}
		reused := conn.reused
		conns.discard(conn)
		if !reused || try >= maxStaleConns || ctx.Err() != nil {
			return 0, nil, err
		}
	}
}
