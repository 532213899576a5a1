package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/placement/sampled"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// WhereQuestion describes a request that is not sent.
type WhereQuestion struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Path is the path as callers send it, with the query if there is one.
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	// Key is the caller's API key. It is used as the request's Authorization and neither logged nor returned.
	Key string `json:"key,omitempty"`
	// FailureDomain is that of the caller.
	FailureDomain string `json:"failure_domain,omitempty"`
}

// WhereAnswer is what the request would meet at an instance at the moment.
type WhereAnswer struct {
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// SameDomain is set if the caller is in the instance's failure domain; nil if the question names none.
	SameDomain *bool `json:"same_domain"`
	// Refusal names the kind of refusal that the request would get before an upstream is chosen.
	Refusal     string         `json:"refusal,omitempty"`
	Message     string         `json:"message,omitempty"`
	Route       string         `json:"route,omitempty"`
	Workspace   string         `json:"tenant,omitempty"`
	Class       string         `json:"class,omitempty"`
	Repeatable  bool           `json:"repeatable"`
	Target      table.Duration `json:"target"`
	Deadline    table.Duration `json:"deadline"`
	HomeRegions []string       `json:"home_regions"`
	// Relayed is set if the request would be passed to an instance inside its home regions.
	Relayed bool `json:"relayed"`
	// Suspect is set if upstreams were lost under such requests.
	Suspect bool        `json:"suspect"`
	Pools   []WherePool `json:"pools"`
}

// WherePool is a pool that the request may be sent to.
type WherePool struct {
	Name string `json:"name"`
	// Share is the share of the route's requests.
	Share float64 `json:"share"`
	// RetriesLeft is the number of attempts that the pool's retry budget allows now.
	RetriesLeft float64 `json:"retries_left"`
	// Hedge is nil if the request gets no second copy.
	Hedge *WhereHedge `json:"hedge"`
	sampled.Explanation
}

// WhereHedge is when a second copy may be sent.
type WhereHedge struct {
	After table.Duration `json:"after"`
	// Percent and Left are the limit and what it allows now; nil if only the retry budget limits second copies.
	Percent *float64 `json:"percent"`
	Left    *float64 `json:"left"`
}

// maxQuestion bounds a question in bytes; it holds a request's header.
const maxQuestion = 64 << 10

// Where serves explanations of placements under /where. It is called before Run.
func (s *Server) Where(explain func(WhereQuestion, *http.Request) WhereAnswer) {
	s.router.POST("/where", func(c echo.Context) error {
		var q WhereQuestion
		// The decoder's errors may quote the question, which holds a key.
		if json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxQuestion)).Decode(&q) != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "the question cannot be decoded; send a JSON object of at most 64 KiB")
		}
		r, ok := q.request()
		if !ok {
			return echo.NewHTTPError(http.StatusBadRequest, "method or path cannot be used; give a method such as GET and a path that begins with /")
		}
		return c.JSON(http.StatusOK, explain(q, r))
	})
}

// request returns the request that the question describes.
func (q WhereQuestion) request() (*http.Request, bool) {
	u, err := url.ParseRequestURI(q.Path)
	if err != nil || !strings.HasPrefix(q.Path, "/") {
		return nil, false
	}
	r, err := http.NewRequest(q.Method, "/", http.NoBody)
	if err != nil {
		return nil, false
	}
	r.URL, r.RequestURI, r.Host = u, q.Path, q.Host
	for name, value := range q.Headers {
		r.Header.Set(name, value)
	}
	if q.Key != "" {
		r.Header.Set("Authorization", "Bearer "+q.Key)
	}
	return r, true
}

// FetchWhere asks the instance whose admin listener has the given host:port.
func FetchWhere(ctx context.Context, address string, q WhereQuestion) (WhereAnswer, error) {
	var a WhereAnswer
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	body, err := json.Marshal(q)
	if err != nil {
		return a, fault.Wrap(fault.Invalid, err, "the question cannot be encoded", "check the flags")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/where", bytes.NewReader(body))
	if err != nil {
		return a, fault.Wrap(fault.Invalid, err, "the admin address cannot be used", "give --admin as host:port")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return a, fault.Wrap(fault.Unavailable, err, "the admin listener cannot be reached", "check that the instance runs")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest:
		return a, fault.New(fault.Invalid, "the instance cannot use the question", "give a method such as GET and a path that begins with /")
	case http.StatusNotFound:
		return a, fault.New(fault.NotFound, "the instance explains no placements", "ask an instance with $.platform in its settings, of this release")
	default:
		return a, fault.Newf(fault.Unavailable, "check that the address is that of an admin listener", "the admin listener answered %s", resp.Status)
	}
	if err := decode(resp.Body, &a); err != nil {
		return a, fault.Wrap(fault.Unavailable, err, "the answer cannot be decoded", "check that both run the same release")
	}
	return a, nil
}
