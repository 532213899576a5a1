package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// statusTimeout bounds one status request to an instance's admin listener.
const statusTimeout = 2 * time.Second

// maxStatusBody is the size limit of a status in bytes; 7,600 upstreams take about 2 MB.
const maxStatusBody = 64 << 20

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
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, fault.Wrap(fault.Unavailable, err, "the admin listener cannot be reached", "check that the instance runs")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fault.Newf(fault.Unavailable, "check that the address is that of an admin listener", "the admin listener answered %s", resp.Status)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxStatusBody)).Decode(&s); err != nil {
		return s, fault.Wrap(fault.Unavailable, err, "the status cannot be decoded", "check that both run the same release")
	}
	return s, nil
}
