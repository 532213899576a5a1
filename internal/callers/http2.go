package callers

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

// SetHTTP2 records that the connection is one of HTTP/2, which has no header section of its own. See also Guard.CloseQuiet.
func (c *Conn) SetHTTP2() {
	c.mu.Lock()
	c.prefaced = len(http2Preface)
	c.mu.Unlock()
	c.member.setHTTP2()
}
