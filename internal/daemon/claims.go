package daemon

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/idempotency"
	"github.com/turmericsail/turmericsail/pkg/respcheck"
)

// claims adapts the claims at the replicas of a request's record region to the entry.
type claims struct {
	coordinator *idempotency.Coordinator
	// regions are all regions of the deployment. They come from the settings rather than
	// from the membership, so that the loss of a region does not move records to another one.
	regions []string
}

var _ entry.Claims = (*claims)(nil)

// Begin implements entry.Claims.
func (c *claims) Begin(ctx context.Context, r entry.ClaimRequest) (entry.ClaimState, entry.Ticket, *entry.StoredResponse, error) {
	key := idempotency.NewKey(*r.Route, r.Identity, c.regions)
	result := c.coordinator.Begin(ctx, key, idempotency.Digest(r.Digest[:16]))
	switch {
	case result.Ticket != nil:
		return entry.ClaimGranted, ticket{result.Ticket}, nil, nil
	case result.Answer != nil:
		state, answer := stateOf(result.Answer.Body)
		return state, nil, answer, nil
	}
	switch fault.KindOf(result.Refusal) {
	case fault.Conflict:
		return entry.ClaimMismatch, nil, nil, nil
	case fault.OutcomeUnknown:
		return entry.ClaimUnknown, nil, nil, nil
	}
	return "", nil, nil, result.Refusal
}

// stateOf returns the state of a request with a recorded answer, and the answer if it can be sent. Earlier releases recorded
// malformed answers, which do not show that the request ran.
func stateOf(record []byte) (entry.ClaimState, *entry.StoredResponse) {
	answer, err := decodeAnswer(record)
	switch {
	case errors.Is(err, respcheck.ErrMalformed):
		return entry.ClaimUnknown, nil
	case err != nil:
		return entry.ClaimRan, nil
	}
	return entry.ClaimAnswered, answer
}

// ticket adapts a granted claim. Its result is stored in the background, because whether
// the request ran does not depend on whether the replicas have recorded it yet.
type ticket struct{ *idempotency.Ticket }

var _ entry.Ticket = ticket{}

// Finish implements entry.Ticket.
func (t ticket) Finish(_ context.Context, a *entry.StoredResponse) error {
	t.Ticket.Finish(encodeAnswer(a))
	return nil
}

// NotRun implements entry.Ticket.
func (t ticket) NotRun(context.Context) error {
	t.Ticket.NotRun()
	return nil
}

// Unknown implements entry.Ticket.
func (t ticket) Unknown(context.Context) error {
	t.Ticket.Unknown()
	return nil
}

// encodeAnswer returns the HTTP/1.1 form of an answer. The encoding of a dropped answer
// exceeds the size limit, so that the replicas record only that the request ran.
func encodeAnswer(a *entry.StoredResponse) []byte {
	if a.Dropped {
		return make([]byte, idempotency.MaxAnswer+1)
	}
	resp := http.Response{
		StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: a.Header,
		Body: io.NopCloser(bytes.NewReader(a.Body)), ContentLength: int64(len(a.Body)),
	}
	var buf bytes.Buffer
	if err := resp.Write(&buf); err != nil {
		return make([]byte, idempotency.MaxAnswer+1)
	}
	return buf.Bytes()
}

func decodeAnswer(data []byte) (*entry.StoredResponse, error) {
	resp, err := respcheck.Record.ReadResponse(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &entry.StoredResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
