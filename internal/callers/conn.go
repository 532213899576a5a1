package callers

import (
	"net"
	"sync"
)

// Listener admits the connections of callers that its guard allows.
type Listener struct {
	net.Listener
	Guard *Guard
}

var _ net.Listener = (*Listener)(nil)

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped := &Conn{Conn: c}
		if wrapped.member = l.Guard.Join(AddressOf(c), func() { _ = wrapped.Close() }); wrapped.member != nil {
			return wrapped, nil
		}
		_ = c.Close() // the caller learns that the connection is closed either way
	}
}

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	member *Member
	once   sync.Once
}

// Enter records the phase of the connection.
func (c *Conn) Enter(p Phase) { c.member.Enter(p) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(c.member.Leave)
	return c.Conn.Close()
}

// CloseWrite closes the writing side, which net/http does before it waits for the caller to read a refusal.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
