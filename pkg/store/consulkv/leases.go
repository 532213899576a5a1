package consulkv

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Grant implements store.Leases by a session whose keys are deleted when it expires.
func (c *Client) Grant(ctx context.Context, name string, ttl time.Duration) (store.LeaseID, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	body, err := json.Marshal(map[string]string{"Name": name, "TTL": ttl.String(), "Behavior": "delete", "LockDelay": "0s"})
	if err != nil {
		return "", err
	}
	a, err := c.call(ctx, http.MethodPut, "/v1/session/create", nil, body)
	if err != nil {
		return "", err
	}
	if a.status != http.StatusOK {
		return "", unexpectedStatus(a, "check the time to live against the bounds of the store")
	}
	var session struct{ ID string }
	if err := json.Unmarshal(a.body, &session); err != nil || session.ID == "" {
		return "", fault.Wrap(fault.Unavailable, errors.Join(err, errors.New(string(a.body))), "the store gave no session", "check the store")
	}
	return store.LeaseID(session.ID), nil
}

// Renew implements store.Leases.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, err := c.call(ctx, http.MethodPut, "/v1/session/renew/"+url.PathEscape(string(id)), nil, nil)
	if err != nil {
		return err
	}
	if a.status == http.StatusNotFound {
		return fault.Newf(fault.NotFound, "grant a new lease and stop using what the old one protected", "lease %s has expired", id)
	}
	if a.status != http.StatusOK {
		return unexpectedStatus(a, "check the permissions of the store")
	}
	return nil
}

// Release implements store.Leases.
func (c *Client) Release(ctx context.Context, id store.LeaseID) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	_, err := c.call(ctx, http.MethodPut, "/v1/session/destroy/"+url.PathEscape(string(id)), nil, nil)
	return err
}

// Leases implements store.LeaseLister by the list of sessions.
func (c *Client) Leases(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, err := c.call(ctx, http.MethodGet, "/v1/session/list", nil, nil)
	if err != nil {
		return nil, err
	}
	var sessions []struct{ Name string }
	if err := json.Unmarshal(a.body, &sessions); err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "the session list cannot be decoded", "check that the address is that of the store")
	}
	var names []string
	for _, s := range sessions {
		if strings.HasPrefix(s.Name, prefix) {
			names = append(names, s.Name)
		}
	}
	return names, nil
}
