package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Settings configure a TCPTransport. Zero values mean the defaults.
type Settings struct {
	// ID identifies this run of the instance. Required.
	ID InstanceID `json:"-"`
	// Listener accepts the connections of other instances. Required.
	Listener net.Listener `json:"-"`
	// TLS enables mutual TLS. It must require and verify client certificates. Nil means plaintext.
	TLS *tls.Config `json:"-"`
	// VerifyPeer, when set, checks that a certificate is valid for an instance ID.
	VerifyPeer func(id InstanceID, state tls.ConnectionState) error `json:"-"`
	// Dial opens a connection. Default: net.Dialer over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error) `json:"-"`
	// ControlRate is the control traffic that this instance may send per second. Default 4KiB.
	ControlRate table.Size `json:"control_rate,omitempty"`
	// ControlBurst is the control traffic that may be sent at once after an idle period. Default 256KiB.
	ControlBurst table.Size `json:"control_burst,omitempty"`
	// MaxFrame is the size limit of one message. Default 8MiB.
	MaxFrame table.Size `json:"max_frame,omitempty"`
	// QueueLength is the limit of messages waiting to be written, for each connection and kind of traffic. Default 1024.
	QueueLength int `json:"queue_length,omitempty"`
	// MaxHandlers is the limit of calls handled at the same time for each connection. Default 1024.
	MaxHandlers int `json:"max_handlers,omitempty"`
	// ConnectTimeout is how long connecting and the handshake may take. Default 2s.
	ConnectTimeout table.Duration `json:"connect_timeout,omitempty"`
	// CallTimeout is the timeout of a call whose context has no deadline. Default 10s.
	CallTimeout table.Duration `json:"call_timeout,omitempty"`
	// IdleTimeout is how long an unused connection is kept. Default 2m.
	IdleTimeout table.Duration `json:"idle_timeout,omitempty"`
	// BackoffMin is the first pause after a failed connection attempt. Default 50ms.
	BackoffMin table.Duration `json:"backoff_min,omitempty"`
	// BackoffMax is the longest pause after failed connection attempts. Default 5s.
	BackoffMax table.Duration `json:"backoff_max,omitempty"`
}

func (s *Settings) validate() error {
	switch {
	case s.ID.Name() == "" || s.ID.Name() == string(s.ID):
		return fault.Newf(fault.Invalid, `use "name/incarnation"`, "%q is not an instance ID", s.ID)
	case s.Listener == nil:
		return fault.New(fault.Invalid, "the peer transport has no listener", "give an open listener")
	case s.TLS != nil && s.TLS.ClientAuth != tls.RequireAndVerifyClientCert:
		return fault.New(fault.Invalid, "the TLS configuration accepts instances without a certificate", "set ClientAuth to RequireAndVerifyClientCert")
	}
	return nil
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.MaxFrame, 8<<20)
	setDefault(&s.QueueLength, 1024)
	setDefault(&s.MaxHandlers, 1024)
	setDefault(&s.ConnectTimeout, table.Duration(2*time.Second))
	setDefault(&s.CallTimeout, table.Duration(10*time.Second))
	setDefault(&s.IdleTimeout, table.Duration(2*time.Minute))
	setDefault(&s.BackoffMin, table.Duration(50*time.Millisecond))
	setDefault(&s.BackoffMax, table.Duration(5*time.Second))
	if s.Dial == nil {
		s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return s
}
