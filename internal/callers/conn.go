package callers

import (
	"bytes"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/turmericsail/turmericsail/internal/socket"
)

// Listener admits the connections of callers that its guard allows.
type Listener struct {
	net.Listener
	Guard    *Guard
	Sections *Sections
	// Encrypted is set if the bytes of connections are not those of HTTP. Lines are then not counted, and a section
	// costs its bytes only.
	Encrypted bool
	// OnClosing is called before a connection is closed.
	OnClosing func(Closing)
}

// Closing tells in which state a connection is closed.
type Closing struct {
	// Reason is that of a limit of all callers together, ReasonIdle, or empty if net/http closes the connection.
	Reason string
	// Unanswered is set if a request was read, no part of a response was sent, and the caller has not closed the connection.
	// It is not known on encrypted connections and those of HTTP/2.
	Unanswered bool
	// Unread is set if bytes have arrived that were not read. The system resets such a connection, and the reset can
	// destroy a response on its way to the caller.
	Unread bool
}

var _ net.Listener = (*Listener)(nil)

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := newConn(c, l)
		if conn.member.Join() {
			return conn, nil
		}
		_ = c.Close() // the caller learns that the connection is closed either way
	}
}

func newConn(c net.Conn, l *Listener) *Conn {
	conn := &Conn{Conn: c, raw: rawConn(c), sections: l.Sections, encrypted: l.Encrypted, onClosing: l.OnClosing, inSection: true}
	conn.member = l.Guard.NewMember(AddressOf(c), conn)
	conn.readNow = conn.readArrived
	return conn
}

// rawConn returns the socket of a connection, or nil if it has none.
func rawConn(c net.Conn) syscall.RawConn {
	s, ok := c.(syscall.Conn)
	if !ok || !socket.Usable {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil // a connection that is closed already, whose first read fails
	}
	return raw
}

// Conn is a connection of a caller. It counts what net/http reads of a header section, which ends when net/http reports
// the connection as active.
type Conn struct {
	net.Conn
	raw       syscall.RawConn // nil if it is not a socket
	member    *Member
	sections  *Sections
	encrypted bool
	onClosing func(Closing)
	reading   node[*Conn] // guarded by the mutex of sections

	mu sync.Mutex
	// delivered is set from when net/http gets bytes until it asks for more. If no request is being handled, these bytes
	// may end a header section.
	delivered  bool
	waiting    bool   // net/http waits for bytes
	retired    bool   // will be closed; nothing is read any more
	reason     string // of the close
	overBudget bool   // there was no memory for the header section, so the connection will be closed
	phase      Phase
	inSection  bool
	prefaced   int // bytes of http2Preface that were read from the start of the connection; -1 if it starts otherwise
	size       int64
	lines      int64
	charged    int64
	closed     bool      // Close was called
	ended      bool      // the socket is closed
	settlesAt  time.Time // until when the last response may not have been written

	announce   func()      // see SetHTTP2
	closeTimer *time.Timer // set when the close was announced

	// The state of the latest request of HTTP/1 and its response, see lingers.
	responding  bool // a handler has not completed the response
	unread      bool // the request may not have been read to its end
	written     bool // bytes of a response were sent
	broken      bool // the caller has closed its side, or the connection has failed
	inputClosed bool // net/http gets no more bytes
	delimiting  bool // see DelimitByClose
	aborted     bool // see AbortResponse
	// sectionFailed is set if the header section was not read to its end.
	sectionFailed bool
	// sectionTimedOut is set if the latest read ended at a deadline before the end of the header section. It is not known on
	// encrypted connections.
	sectionTimedOut bool

	keptIdle   time.Duration // see KeepIdle
	deadline   time.Time     // set by net/http
	sectionEnd time.Time     // of the header section; zero before its first byte

	// The destination and result of readArrived, whose method value is kept to save allocations.
	dst     []byte
	readN   int
	readErr error
	readNow func(fd uintptr) bool
}

var _ net.Conn = (*Conn)(nil)

// settleTime is the time for net/http to write the last response of an HTTP/2 connection, which it reports as idle before.
const settleTime = time.Second

// errClosed is the error of a read on a connection that is closed because of its header section, or that was retired.
// net/http sends no response of its own after an error of this kind or a timeout, unless it came within a line: the part of
// the line that was read is then taken for all of it. See Write.
var errClosed = &net.OpError{Op: "read", Err: net.ErrClosed}

// headerEnd is the end of the last header line and the empty line after it.
const headerEnd = "\r\n\r\n"

// http2Preface starts a connection of HTTP/2 (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.receive(p)
	if n == 0 {
		return n, err
	}
	cost, tooLarge := c.count(p[:n])
	switch {
	case tooLarge:
		c.sections.OnClose(ReasonHeader)
		c.refuse(ReasonHeader)
		return 0, errClosed
	case cost < 0: // the section turned out to be the start of HTTP/2
		c.release()
	case cost > 0 && !c.reserve(cost):
		if c.wasRead(p[:n]) {
			c.refuse(ReasonMemory)
		}
		return 0, errClosed
	}
	return n, err
}

// Write implements net.Conn. It fails on a connection that will be closed before it has carried a request, or whose header
// section has timed out, where net/http would refuse an unfinished header section as malformed. It also fails after an aborted
// response, where TLS would announce an orderly end.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = c.written || n > 0
	c.broken = c.broken || err != nil
	return n, err
}

// isClosing does not depend on the phase: net/http reports an unfinished section that fails as active.
func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A connection that was idle has no unfinished section, and TLS announces its end.
	return c.closed || c.aborted || c.overBudget || c.sectionTimedOut || c.retired && c.reason != ReasonIdle
}

// count adds bytes to the header section, if one is being read, and returns what they cost.
func (c *Conn) count(p []byte) (cost int64, tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inSection {
		return 0, false
	}
	if c.endsPreface(p) {
		return -c.charged, false
	}
	if c.size == 0 {
		c.startTimeout()
	}
	c.size += int64(len(p))
	limit := c.sections.MaxBytes()
	if c.encrypted {
		c.size = min(c.size, limit) // net/http bounds what it keeps of it
	} else {
		c.lines += int64(bytes.Count(p, []byte{'\n'}))
	}
	if c.size > limit {
		return 0, true
	}
	return SectionCost(c.size, c.lines) - c.charged, false
}

// endsPreface reports whether the connection has turned out to be one of HTTP/2, which has no header section of its own.
func (c *Conn) endsPreface(p []byte) bool {
	if c.prefaced < 0 {
		return false
	}
	rest := http2Preface[c.prefaced:]
	n := min(len(p), len(rest))
	if string(p[:n]) != rest[:n] {
		c.prefaced = -1
		return false
	}
	if c.prefaced += n; c.prefaced < len(http2Preface) {
		return false
	}
	c.inSection, c.sectionEnd = false, time.Time{}
	c.size = 0
	return true
}

// reserve reserves memory for the header section and reports success.
func (c *Conn) reserve(cost int64) bool {
	if !c.sections.admit(c, cost) {
		c.sections.finish(c)
		c.mu.Lock()
		c.overBudget, c.sectionFailed = true, true
		c.mu.Unlock()
		return false
	}
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.charged += cost
	}
	c.mu.Unlock()
	if closed { // meanwhile, to make room for another section
		c.sections.finish(c)
		c.sections.Budget.Give(cost)
	}
	return !closed
}

// release returns the memory of the header section.
func (c *Conn) release() {
	c.sections.finish(c)
	c.mu.Lock()
	charged := c.charged
	c.charged, c.size, c.lines = 0, 0, 0
	c.mu.Unlock()
	c.sections.Budget.Give(charged)
}

// refuse sends a refusal. The caller may still be sending.
func (c *Conn) refuse(reason string) {
	c.release()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	c.sections.Refuse(c.Conn, reason)
	c.linger()
}

// wasRead reports whether the header section for which there is no memory ends with these bytes. A section that is still
// arriving is closed without a refusal.
func (c *Conn) wasRead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overBudget && !c.encrypted && bytes.Contains(p, []byte(headerEnd))
}

// Enter records the phase of the connection. One that is being closed stays so, and one that has its last response stays active
// until net/http closes it.
func (c *Conn) Enter(p Phase) {
	c.mu.Lock()
	if c.phase == PhaseClosing || c.inputClosed {
		c.mu.Unlock()
		return
	}
	c.phase = p
	switch p {
	case PhaseActive:
		c.responding, c.unread, c.written = false, true, false
	case PhaseIdle:
		c.sectionFailed = false
		c.delivered = !c.waiting // net/http may have read the next request together with the last one
		if c.multiplexed() {
			c.settlesAt = time.Now().Add(settleTime)
		}
	}
	c.mu.Unlock()
	c.member.Enter(p)
	switch p {
	case PhaseActive:
		c.sections.finish(c)
		c.setInSection(false)
	case PhaseIdle:
		c.release()
		c.setInSection(true)
	}
}

// KeepIdle records the idle timeout from which the latest response tells the caller for how long it may reuse the connection; zero
// if it tells nothing.
func (c *Conn) KeepIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keptIdle = timeout
}

// KeptIdle returns what KeepIdle has recorded.
func (c *Conn) KeptIdle() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keptIdle
}

// SetReadDeadline implements net.Conn. A header section that has begun keeps its own deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.phase == PhaseClosing {
		return nil // the deadline is that of the input that is discarded
	}
	return c.Conn.SetReadDeadline(c.earliest())
}

// earliest returns the deadline that net/http has set, or that of the header section if it is earlier.
func (c *Conn) earliest() time.Time {
	if c.deadline.IsZero() || c.sectionEnd.IsZero() || c.deadline.Before(c.sectionEnd) {
		return c.deadline
	}
	return c.sectionEnd
}

// startTimeout sets the deadline of a header section whose first bytes have arrived. The timeout of http.Server is fixed
// at the start, while operators can change it.
func (c *Conn) startTimeout() {
	if timeout := c.sections.Timeout(); timeout > 0 && !c.encrypted {
		c.sectionEnd = time.Now().Add(timeout)
		_ = c.Conn.SetReadDeadline(c.earliest()) // fails only on a closed connection, whose next read fails, too
	}
}

// setInSection starts or ends a header section. A connection of HTTP/2 has none.
func (c *Conn) setInSection(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inSection = v && !c.multiplexed()
	c.sectionEnd = time.Time{}
}

// Trim returns what was reserved beyond the cost of the header section as parsed, and reports what remains reserved.
// The bytes that were read together with the end of a section belong to the body, and were counted as header lines.
func (c *Conn) Trim(cost int64) (charged int64) {
	c.mu.Lock()
	excess := max(c.charged-cost, 0)
	c.charged -= excess
	charged = c.charged
	c.mu.Unlock()
	c.sections.Budget.Give(excess)
	return charged
}

// Close implements net.Conn. It returns at once if the connection lingers. A second call ends that.
func (c *Conn) Close() error {
	c.mu.Lock()
	lingers := !c.closed && (c.phase == PhaseClosing || c.lingers())
	c.closed = true
	c.mu.Unlock()
	c.release()
	if lingers && c.linger() {
		return nil
	}
	return c.end()
}

// closeFor closes a connection that is retired, for a limit of all callers together.
func (c *Conn) closeFor(reason string) {
	c.mu.Lock()
	c.reason, c.closed = reason, true
	c.mu.Unlock()
	c.release()
	_ = c.end() // it cannot be used after a failed close either
}

// end closes the socket.
func (c *Conn) end() error {
	c.mu.Lock()
	first := !c.ended
	c.ended = true
	if c.closeTimer != nil {
		c.closeTimer.Stop()
	}
	closing := Closing{Reason: c.reason, Unanswered: c.unanswered()}
	c.mu.Unlock()
	if first {
		c.member.Leave()
		if c.onClosing != nil {
			closing.Unread = socket.HasUnread(c.raw)
			c.onClosing(closing)
		}
	}
	return c.Conn.Close()
}

// unanswered reports whether a request was read whose connection ends without a response; see Closing.
func (c *Conn) unanswered() bool {
	switch {
	case c.encrypted || c.multiplexed() || c.broken || c.sectionFailed:
		return false
	case c.phase == PhaseActive:
		return !c.written
	}
	return c.delivered && c.phase != PhaseClosing && c.reason != ""
}

// CloseWrite closes the writing side, which net/http does after a response while the caller is still sending. It waits then,
// and closes the connection, which lingers already.
func (c *Conn) CloseWrite() error {
	c.linger()
	return nil
}
