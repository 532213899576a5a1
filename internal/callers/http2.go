package callers

import "time"

// announceTime bounds how long a connection without a request stays open after its close was announced. net/http closes it
// one second after the announcement, unless the caller does not read.
const announceTime = 2 * time.Second

// IsNew reports whether the connection has not carried a request yet.
func (c *Conn) IsNew() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == PhaseNew
}

// IsHTTP2 reports whether the connection is one of HTTP/2: it has started with the preface in plain text, or SetHTTP2 was
// called.
func (c *Conn) IsHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.multiplexed()
}

// multiplexed is IsHTTP2 under the mutex.
func (c *Conn) multiplexed() bool { return c.prefaced == len(http2Preface) }

// SetHTTP2 records that the connection is one of HTTP/2, which has no header section of its own. announce makes net/http send
// GOAWAY and close the connection after its last response; it may be called more than once. See also Guard.CloseQuiet.
func (c *Conn) SetHTTP2(announce func()) {
	c.mu.Lock()
	c.prefaced, c.announce = len(http2Preface), announce
	c.mu.Unlock()
	c.member.setHTTP2()
}

// AnnounceIdle announces the close of a connection of HTTP/2 that has been idle for too long, or reports false if a request may
// be arriving.
func (c *Conn) AnnounceIdle() bool {
	c.mu.Lock()
	quiet := c.phase == PhaseIdle && c.isQuiet() && c.isUseless()
	c.mu.Unlock()
	if quiet {
		c.announceFor(ReasonIdle)
	}
	return quiet
}

// announceFor announces the close of a connection of HTTP/2. It is closed by net/http, or by closeAnnounced.
func (c *Conn) announceFor(reason string) {
	c.mu.Lock()
	c.reason = reason
	announce := c.announce
	if c.closeTimer == nil && !c.ended {
		c.closeTimer = time.AfterFunc(announceTime, c.closeAnnounced)
	}
	c.mu.Unlock()
	if announce != nil {
		announce()
	}
}

// closeAnnounced closes a connection whose close was announced, or tries again later if it carries a request that net/http
// read before.
func (c *Conn) closeAnnounced() {
	retired := c.retireAnnounced()
	c.mu.Lock()
	reason := c.reason
	if !retired && !c.ended {
		c.closeTimer.Reset(announceTime)
	}
	c.mu.Unlock()
	if retired {
		c.closeFor(reason)
	}
}

// retireAnnounced is retire for a connection whose close was announced. Bytes that arrive after GOAWAY are no request, but those
// that net/http has not processed yet may be one that was read before.
func (c *Conn) retireAnnounced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && c.retireLocked()
}
