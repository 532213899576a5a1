package callers

import (
	"net"
	"sync"
	"time"
)

// Sections bounds the memory of header sections while net/http reads them, before it stores a line. It answers clients
// that send header sections without end, or of very many short lines, of which each costs far more memory than its
// bytes.
//
// If a section does not fit, the oldest unfinished one is closed: that of an ordinary caller is complete within a few
// milliseconds.
type Sections struct {
	// Budget is shared with what requests hold after their header section.
	Budget *Budget
	// MaxBytes returns the size in bytes above which a section is refused.
	MaxBytes func() int64
	// Timeout returns the time to receive a section; zero means that net/http's own applies.
	Timeout func() time.Duration
	// Refuse sends a refusal to a caller whose section is over MaxBytes (ReasonHeader) or for which there is no memory
	// (ReasonMemory).
	Refuse func(c net.Conn, reason string)
	// OnClose is called for each connection that is closed, with the reason.
	OnClose func(reason string)

	mu      sync.Mutex
	reading queue[*Conn] // those with an unfinished section
}

const (
	// lineCost is the memory in bytes of a header line besides its bytes: net/http took 105 bytes for each of 10,500
	// short lines of different names, and the header for the upstream is a copy.
	lineCost = 256
	// byteCost is the memory of a byte of the section: a growing buffer holds its contents twice.
	byteCost = 2
	// minLine is the shortest header line in bytes: a name of one letter, a colon and a line feed.
	minLine = 3
	// refusalTime bounds the time to send a refusal.
	refusalTime = 500 * time.Millisecond
)

// SectionCost returns the memory of a header section in bytes.
func SectionCost(size, lines int64) int64 { return byteCost*size + lineCost*lines }

// LargestSectionCost returns the memory of the most expensive header section of that size, in bytes.
func LargestSectionCost(size int64) int64 { return SectionCost(size, size/minLine) }

// admit reserves n more bytes for the unfinished section of c. If there is not so much left, it closes older sections,
// or reports false if c is the oldest.
func (s *Sections) admit(c *Conn, n int64) bool {
	s.mu.Lock()
	if c.reading.in == nil {
		c.reading.owner = c
		s.reading.push(&c.reading)
	}
	s.mu.Unlock()
	for !s.Budget.Take(n) {
		oldest := s.retireOldest(c)
		if oldest == nil {
			return false
		}
		s.OnClose(ReasonMemory)
		if oldest == c {
			return false
		}
		oldest.closeFor(ReasonMemory) // its reader sees the error
	}
	return true
}

// retireOldest returns the connection with the oldest unfinished section, which is c or is retired. It is nil if c has been
// closed meanwhile.
func (s *Sections) retireOldest(c *Conn) *Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := s.reading.first; n != nil; n = n.next {
		if n.owner == c || n.owner.retire() {
			return n.owner
		}
	}
	return nil
}

// finish takes c out of the unfinished sections.
func (s *Sections) finish(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.reading.leave()
}
