package callers

// IsNew reports whether the connection has not carried a request yet.
func (c *Conn) IsNew() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == PhaseNew
}

// HasHTTP2Preface reports whether the connection has started as one of HTTP/2 in plain text.
func (c *Conn) HasHTTP2Preface() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prefaced == len(http2Preface)
}

// SetHTTP2 records that the connection is one of HTTP/2. See Guard.CloseQuiet.
func (c *Conn) SetHTTP2() {
	c.mu.Lock()
	c.multiplexed = true
	c.mu.Unlock()
	c.member.setHTTP2()
}

// IsHTTP2 reports whether SetHTTP2 was called.
func (c *Conn) IsHTTP2() bool { return c.member.isHTTP2() }
