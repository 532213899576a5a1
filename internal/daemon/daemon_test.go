package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/respcheck/respchecktest"
)

// Guards against a stored answer that changes before it is sent to a repeated request, and
// against a dropped answer that is sent to it as an empty one.
func TestStoredAnswerRoundTrip(t *testing.T) {
	is := is.New(t)
	a := &entry.StoredResponse{Status: 201, Header: http.Header{"X-Run": {"7"}}, Body: []byte("assigned")}
	back, err := decodeAnswer(encodeAnswer(a))
	is.NoErr(err)
	is.Equal(back.Status, 201)
	is.Equal(back.Header.Get("X-Run"), "7")
	is.Equal(string(back.Body), "assigned")
	is.True(len(encodeAnswer(&entry.StoredResponse{Dropped: true})) > entry.MaxStoredResponse)
}

// Guards against a malformed answer that an instance of an earlier release recorded and this one sends to the caller of a
// repeated request.
func TestMalformedRecordIsNoAnswer(t *testing.T) {
	for name, record := range respchecktest.Responses("", "wrong") {
		if name == "blank in a 1xx response" {
			continue // records have no 1xx responses
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state, answer := stateOf([]byte(record))
			is.Equal(state, entry.ClaimUnknown)
			is.Equal(answer, nil)
		})
	}
}

// Guards against treating a pause of the process as a suspension of the machine.
func TestAPauseIsNoSuspension(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.Equal(suspendedFor(now, now.Add(time.Hour)), time.Duration(0)) // both clocks advanced
}

// Guards against a service that is provisioned before one that it looks up.
func TestServicesAreProvisionedInOrder(t *testing.T) {
	is := is.New(t)
	cfg, err := settings.Parse([]byte(`{"instance":"a","region":"r","regions":["r"],"failure_domain":"f",
		"callers":{"listen":"127.0.0.1:0","plaintext":true},"peers":{"listen":"127.0.0.1:0","plaintext":true},
		"admin":{"listen":"127.0.0.1:0"},"store":{"address":"http://127.0.0.1:1"}}`))
	is.NoErr(err)
	k, err := New(cfg, logr.Discard())
	is.NoErr(err)
	is.NoErr(k.Provision())
}
