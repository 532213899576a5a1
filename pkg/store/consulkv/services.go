package consulkv

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Metadata keys of a listed service.
const (
	metaRegion        = "region"
	metaFailureDomain = "failure_domain"
	metaLeaving       = "leaving"
	metaAdmin         = "admin"
)

// maintenanceCheck is the prefix of the ID of the check that the API adds to a service in maintenance mode.
const maintenanceCheck = "_service_maintenance:"

type serviceEntry struct {
	Node struct {
		Address string
	}
	Service struct {
		Service string
		ID      string
		Address string
		Port    int
		Meta    map[string]string
	}
	Checks []struct {
		CheckID string
	}
}

// listed converts an entry. A service without its own address has the address of its
// node; one in maintenance mode is leaving.
func (e *serviceEntry) listed() store.ListedInstance {
	host := e.Service.Address
	if host == "" {
		host = e.Node.Address
	}
	leaving := e.Service.Meta[metaLeaving] == "true"
	for _, check := range e.Checks {
		leaving = leaving || strings.HasPrefix(check.CheckID, maintenanceCheck)
	}
	return store.ListedInstance{
		Service: e.Service.Service, ID: e.Service.ID,
		Address: net.JoinHostPort(host, strconv.Itoa(e.Service.Port)),
		Region:  e.Service.Meta[metaRegion], FailureDomain: e.Service.Meta[metaFailureDomain],
		Leaving: leaving, Admin: e.Service.Meta[metaAdmin],
	}
}

// Instances implements store.Lister. The list is sorted by ID.
func (c *Client) Instances(ctx context.Context, service string) ([]store.ListedInstance, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, err := c.call(ctx, http.MethodGet, "/v1/health/service/"+url.PathEscape(service), nil, nil)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, unexpectedStatus(a, "check the permissions of the store")
	}
	var rows []serviceEntry
	if err := json.Unmarshal(a.body, &rows); err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "the instance list cannot be decoded", "check that the address is that of the store")
	}
	list := make([]store.ListedInstance, len(rows))
	for i := range rows {
		list[i] = rows[i].listed()
	}
	slices.SortFunc(list, func(a, b store.ListedInstance) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}

// Register implements store.Registrar.
func (c *Client) Register(ctx context.Context, in store.ListedInstance) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	host, portText, err := net.SplitHostPort(in.Address)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "the address is not host:port", `write it as "10.0.0.1:8080"`)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "the port is not a number", `write the address as "10.0.0.1:8080"`)
	}
	meta := map[string]string{metaRegion: in.Region, metaFailureDomain: in.FailureDomain, metaLeaving: strconv.FormatBool(in.Leaving)}
	if in.Admin != "" {
		meta[metaAdmin] = in.Admin
	}
	body, err := json.Marshal(map[string]any{"Name": in.Service, "ID": in.ID, "Address": host, "Port": port, "Meta": meta})
	if err != nil {
		return err
	}
	a, err := c.call(ctx, http.MethodPut, "/v1/agent/service/register", nil, body)
	if err == nil && a.status != http.StatusOK {
		return unexpectedStatus(a, "check the service name and the permissions of the store")
	}
	return err
}

// Deregister implements store.Registrar. An unlisted ID counts as deregistered.
func (c *Client) Deregister(ctx context.Context, in store.ListedInstance) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, err := c.call(ctx, http.MethodPut, "/v1/agent/service/deregister/"+url.PathEscape(in.ID), nil, nil)
	if err == nil && a.status != http.StatusOK && a.status != http.StatusNotFound {
		return unexpectedStatus(a, "check the permissions of the store")
	}
	return err
}
