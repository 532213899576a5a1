package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/respcheck"
)

// statusTimeout bounds one status request to an instance's admin listener.
const statusTimeout = 2 * time.Second

// maxStatusBody is the size limit of a status in bytes; 7,600 upstreams take about 2 MB.
const maxStatusBody = 64 << 20

var client = respcheck.Admin.Client(http.DefaultClient)

// decode decodes a body. It reads all of it, since a malformed trailer shows only at its end.
func decode(body io.ReadCloser, out any) error {
	data, err := io.ReadAll(http.MaxBytesReader(nil, body, maxStatusBody))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}

// FetchStatus requests the status of the instance whose admin listener has the given host:port.
func FetchStatus(ctx context.Context, address string) (Status, error) {
	var s Status
	if address == "" {
		return s, fault.New(fault.Invalid, "the platform's list has no admin address", "set admin.advertise on the instance")
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return s, fault.Wrap(fault.Invalid, err, "the admin address cannot be used", "set admin.advertise to host:port")
	}
	resp, err := client.Do(req)
	if err != nil {
		return s, fault.Wrap(fault.Unavailable, err, "the admin listener cannot be reached", "check that the instance runs")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fault.Newf(fault.Unavailable, "check that the address is that of an admin listener", "the admin listener answered %s", resp.Status)
	}
	if err := decode(resp.Body, &s); err != nil {
		return s, fault.Wrap(fault.Unavailable, err, "the status cannot be decoded", "check that both run the same release")
	}
	return s, nil
}
