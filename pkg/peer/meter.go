package peer

import "sync/atomic"

// Count is a number of messages and their bytes.
type Count struct {
	Messages uint64
	Bytes    uint64
}

type counter struct{ messages, bytes atomic.Uint64 }

// Meter counts messages by direction and kind of traffic. Bytes are those of
// the frames, without the overhead of yamux, TLS and TCP.
type Meter struct {
	sent, received [2]counter
}

// AddSent counts one sent frame.
func (m *Meter) AddSent(t Traffic, bytes int) { m.sent[t&1].add(bytes) }

// AddReceived counts one received frame.
func (m *Meter) AddReceived(t Traffic, bytes int) { m.received[t&1].add(bytes) }

// Sent returns what was sent as traffic t.
func (m *Meter) Sent(t Traffic) Count { return m.sent[t&1].count() }

// Received returns what was received as traffic t.
func (m *Meter) Received(t Traffic) Count { return m.received[t&1].count() }

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

func (c *counter) count() Count { return Count{c.messages.Load(), c.bytes.Load()} }
