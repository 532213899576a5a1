// Package respcheck rejects broken HTTP responses that net/http accepts: malformed ones, with a status out of range or with an
// invalid field name in a header or trailer, and ones that were cut short, whose end a failure of the connection hides. All
// responses that a decision depends on are read through it.
package respcheck

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is wrapped by the errors for malformed responses. The request may have run, whatever the response says.
var ErrMalformed = errors.New("malformed response")

// Source names the kind of server that sends the responses. It is a label of the metric.
type Source string

// Sources of responses.
const (
	Upstream Source = "upstream"
	Relay    Source = "relay"  // another instance that serves a relayed request
	Health   Source = "health" // the health path of an upstream
	Store    Source = "store"
	Admin    Source = "admin"  // the admin listener of an instance
	Target   Source = "target" // of generated load
	Record   Source = "record" // kept for the repeats of a request
)

// reason is what is malformed. It is a label of the metric.
type reason string

const (
	reasonStatus    reason = "status"
	reasonFieldName reason = "field-name"
	reasonHeader    reason = "header" // a line of the header that net/http cannot parse
)

// Other statuses are invalid (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// MaxInterim bounds the 1xx responses to one request.
const MaxInterim = 64

var errTooManyInterim = errors.New("too many 1xx responses")

// RoundTrip sends a request and returns an error that wraps ErrMalformed if a response to it is malformed. The caller must then
// close the connection, to which the request may still be written. interim, unless nil, is called with each 1xx
// response; its error ends the round trip.
func (s Source) RoundTrip(base http.RoundTripper, req *http.Request, interim func(code int, header textproto.MIMEHeader) error) (*http.Response, error) {
	return s.roundTrip(base, req, interim, func() {})
}

// roundTrip implements RoundTrip. discard is called if net/http keeps the connection of a malformed response.
func (s Source) roundTrip(base http.RoundTripper, req *http.Request, interim func(int, textproto.MIMEHeader) error, discard func()) (*http.Response, error) {
	received := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
		if received++; received > MaxInterim { // net/http bounds them only without this function
			return errTooManyInterim
		}
		if err := s.checkHeader(http.Header(header)); err != nil || interim == nil {
			return err
		}
		return interim(code, header)
	}}
	resp, err := base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, s.transportError(err)
	}
	if err := s.check(req.Context(), resp, discard); err != nil {
		if resp.ProtoMajor == 1 { // a connection of HTTP/2 carries other requests
			discard()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// ReadResponse reads a response as http.ReadResponse does and returns an error that wraps ErrMalformed if it is malformed.
func (s Source) ReadResponse(r *bufio.Reader) (*http.Response, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, s.transportError(err)
	}
	if err := s.check(context.Background(), resp, func() {}); err != nil {
		return nil, err
	}
	return resp, nil
}

// transportError returns the error for a failed round trip. Lines that net/textproto refuses make a response malformed.
func (s Source) transportError(err error) error {
	var refused textproto.ProtocolError
	if errors.As(err, &refused) {
		return s.malformed(reasonHeader, refused.Error())
	}
	return err
}

// check returns an error if the status or the header is malformed, and sees to it that the end of the body is checked. discard is
// called if its trailer is malformed.
func (s Source) check(ctx context.Context, resp *http.Response, discard func()) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return s.malformed(reasonStatus, fmt.Sprintf("status %03d", resp.StatusCode))
	}
	if err := s.checkHeader(resp.Header); err != nil {
		return err
	}
	if err := s.checkHeader(resp.Trailer); err != nil { // the names that are announced
		return err
	}
	if resp.Body != http.NoBody && resp.StatusCode != http.StatusSwitchingProtocols {
		resp.Body = &checkedBody{ReadCloser: resp.Body, ctx: ctx, resp: resp, source: s, discard: discard}
	}
	return nil
}

// checkHeader returns an error if the name of a field is malformed.
func (s Source) checkHeader(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return s.malformed(reasonFieldName, fmt.Sprintf("byte %#02x in the name of a field", invalidByte(name)))
		}
	}
	return nil
}

// invalidByte returns the first byte that makes a field name invalid. Errors name only this byte, since the rest of the name may
// be part of a body or a secret.
func invalidByte(name string) byte {
	for i := range len(name) {
		if !httpguts.IsTokenRune(rune(name[i])) {
			return name[i]
		}
	}
	return 0
}

// malformed counts a malformed response and returns the error for it.
func (s Source) malformed(r reason, detail string) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_malformed_responses_total{source=%q,reason=%q}", s, r)).Inc()
	return fmt.Errorf("%w: %s", ErrMalformed, detail)
}
