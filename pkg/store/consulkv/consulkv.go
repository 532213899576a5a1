// Package consulkv is a client for a store with the Consul HTTP API: KV with
// check-and-set, sessions as leases, blocking queries as watches, and the health
// and agent endpoints as the instance list. It uses only net/http.
package consulkv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/respcheck"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// maxBody bounds an answer of the store in bytes; values are at most 1 MB each.
const maxBody = 256 << 20

// Config configures a Client.
type Config struct {
	// Address is the base URL, such as "http://127.0.0.1:8500".
	Address string
	// Timeout bounds each call other than a watch.
	Timeout time.Duration
	// WatchWait is how long the store may hold a watch before it answers unchanged.
	WatchWait time.Duration
	// Client replaces the default HTTP client when set.
	Client *http.Client
}

// Client is a store client. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	watchWait time.Duration
	http      *http.Client
	calls     atomic.Uint64
}

var (
	_ store.KV          = (*Client)(nil)
	_ store.Leases      = (*Client)(nil)
	_ store.LeaseLister = (*Client)(nil)
	_ store.Lister      = (*Client)(nil)
	_ store.Registrar   = (*Client)(nil)
)

// New returns a client for the store at cfg.Address.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.Address)
	if err != nil || u.Host == "" {
		return nil, fault.Newf(fault.Invalid, `write it as "http://host:port"`, "store address %q is not a URL", cfg.Address)
	}
	c := &Client{base: strings.TrimSuffix(cfg.Address, "/"), timeout: cfg.Timeout, watchWait: cfg.WatchWait, http: cfg.Client}
	if c.timeout == 0 {
		c.timeout = 2 * time.Second
	}
	if c.watchWait == 0 {
		c.watchWait = time.Minute
	}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{
			DialContext: respcheck.Dial(new(net.Dialer).DialContext), MaxIdleConnsPerHost: 8, IdleConnTimeout: 2 * time.Minute,
		}}
	}
	c.http = respcheck.Store.Client(c.http)
	return c, nil
}

// Calls returns the number of calls made so far; a pending watch counts as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// response is the part of an HTTP response that the client uses.
type response struct {
	status int
	index  uint64
	body   []byte
}

// call performs one HTTP call. A failed call is OutcomeUnknown when it writes
// and the request reached a connection, else Unavailable.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) (response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return response{}, fault.Wrap(fault.Invalid, err, "the store request cannot be built", "correct the store address or key")
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, callError(method, sent.Load(), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return response{}, callError(method, true, err)
	}
	if resp.StatusCode >= 500 {
		return response{}, callError(method, true, fmt.Errorf("the store answered %s", resp.Status))
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	return response{resp.StatusCode, index, data}, nil
}

func callError(method string, sent bool, err error) error {
	if method != http.MethodGet && sent {
		return fault.Wrap(fault.OutcomeUnknown, err, "the store's answer to a write was lost", "read the value back before writing again")
	}
	return fault.Wrap(fault.Unavailable, err, "the store cannot be reached", "check the store and its address; the call may be repeated")
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}

func kvPath(key string) string { return "/v1/kv/" + (&url.URL{Path: key}).EscapedPath() }

func decodeEntries(data []byte) ([]store.Entry, error) {
	var pairs []kvPair
	if err := json.Unmarshal(data, &pairs); err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "the store's answer cannot be decoded", "check that the address is that of the store")
	}
	entries := make([]store.Entry, len(pairs))
	for i, p := range pairs {
		entries[i] = store.Entry{Key: p.Key, Value: p.Value, Revision: p.ModifyIndex}
	}
	return entries, nil
}

// Get implements store.KV.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, err := c.call(ctx, http.MethodGet, kvPath(key), url.Values{"consistent": {""}}, nil)
	if err != nil {
		return store.Entry{}, err
	}
	if a.status == http.StatusNotFound {
		return store.Entry{}, fault.Newf(fault.NotFound, "list the keys to see which exist", "the store has no key %q", key)
	}
	if a.status != http.StatusOK {
		return store.Entry{}, unexpectedStatus(a, "check the key and the permissions of the store")
	}
	entries, err := decodeEntries(a.body)
	if err != nil {
		return store.Entry{}, err
	}
	if len(entries) != 1 {
		return store.Entry{}, fault.Newf(fault.Unavailable, "check the store", "the store gave %d entries for key %q", len(entries), key)
	}
	return entries[0], nil
}

// List implements store.KV.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.listPrefix(ctx, prefix, url.Values{"recurse": {""}, "consistent": {""}})
}

// Watch implements store.KV.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]store.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.watchWait+c.watchWait/16+c.timeout)
	defer cancel()
	return c.listPrefix(ctx, prefix, url.Values{
		"recurse": {""}, "consistent": {""},
		"index": {strconv.FormatUint(after, 10)}, "wait": {c.watchWait.String()},
	})
}

func (c *Client) listPrefix(ctx context.Context, prefix string, query url.Values) ([]store.Entry, uint64, error) {
	a, err := c.call(ctx, http.MethodGet, kvPath(prefix), query, nil)
	if err != nil {
		return nil, 0, err
	}
	if a.status == http.StatusNotFound {
		return nil, a.index, nil
	}
	if a.status != http.StatusOK {
		return nil, 0, unexpectedStatus(a, "check the prefix and the permissions of the store")
	}
	entries, err := decodeEntries(a.body)
	return entries, a.index, err
}

// CompareAndSwap implements store.KV. The API does not return the new revision, so it returns 0.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (uint64, error) {
	return 0, c.checkAndSet(ctx, http.MethodPut, key, value, revision)
}

// Delete implements store.KV.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	return c.checkAndSet(ctx, http.MethodDelete, key, nil, revision)
}

func (c *Client) checkAndSet(ctx context.Context, method, key string, value []byte, revision uint64) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, err := c.call(ctx, method, kvPath(key), url.Values{"cas": {strconv.FormatUint(revision, 10)}}, value)
	if err != nil {
		return err
	}
	switch {
	case a.status == http.StatusOK && strings.TrimSpace(string(a.body)) == "true":
		return nil
	case a.status == http.StatusOK:
		return fault.Newf(fault.Conflict, "read the key again and decide", "key %q no longer has revision %d", key, revision)
	}
	return unexpectedStatus(a, "check the key and the size of the value")
}

// unexpectedStatus returns the fault for a response with a status that the call does not expect.
func unexpectedStatus(a response, remedy string) error {
	text := strings.TrimSpace(string(a.body[:min(len(a.body), 200)]))
	return fault.Newf(fault.Invalid, remedy, "the store refused the call with status %d: %s", a.status, text)
}
