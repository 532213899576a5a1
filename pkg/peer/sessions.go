package peer

import "time"

// registerSession starts a session and selects it for new calls, unless a
// preferred session to the same instance exists. The side that opened the
// redundant session of the two closes it after retireGrace.
func (t *TCPTransport) registerSession(s *session) {
	t.mu.Lock()
	t.sessions[s] = struct{}{}
	t.mu.Unlock()
	t.established.Add(1)
	go s.acceptLoop()
	l := t.link(s.peer)
	l.mu.Lock()
	defer l.mu.Unlock()
	redundant := l.liveSession()
	if redundant == nil || s.preferred() || !redundant.preferred() {
		l.current = s
	} else {
		redundant = s
	}
	if redundant != nil && redundant.dialled {
		redundant.retiredAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	l.failures, l.retryAt = 0, time.Time{}
}

// reapLoop closes broken, redundant and idle connections every reapInterval.
func (t *TCPTransport) reapLoop() {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case now := <-ticker.C:
			for _, s := range t.allSessions() {
				if !s.alive() || t.closable(s, now) {
					t.closeSession(s)
				}
			}
			t.evictIdleLinks(now)
		}
	}
}

func (t *TCPTransport) allSessions() []*session {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*session, 0, len(t.sessions))
	for s := range t.sessions {
		all = append(all, s)
	}
	return all
}

// closable reports whether a session is redundant or idle. Only the side that
// opened the connection may close it; if both could, one side would close what
// the other has just reopened.
func (t *TCPTransport) closable(s *session, now time.Time) bool {
	if !s.dialled || s.busy() {
		return false
	}
	if r := s.retiredAt.Load(); r != 0 && now.Sub(time.Unix(0, r)) > retireGrace {
		return true
	}
	return now.Sub(time.Unix(0, s.lastUsed.Load())) > t.settings.IdleTimeout.Std()
}

func (t *TCPTransport) closeSession(s *session) {
	s.mux.Close()
	t.mu.Lock()
	delete(t.sessions, s)
	t.mu.Unlock()
}

// evictIdleLinks deletes the links of instances that were neither connected nor called for IdleTimeout.
func (t *TCPTransport) evictIdleLinks(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.links {
		l.mu.Lock()
		if l.liveSession() == nil && l.dialling == nil && now.Sub(l.lastUsed) > t.settings.IdleTimeout.Std() {
			delete(t.links, id)
		}
		l.mu.Unlock()
	}
}

func (t *TCPTransport) shutdown() {
	t.stop()
	t.settings.Listener.Close()
	for _, s := range t.allSessions() {
		t.closeSession(s)
	}
}

// Stats are the transport's counters since the process started; Sessions is a gauge.
type Stats struct {
	ControlSent, ControlReceived   Count
	CallPathSent, CallPathReceived Count
	// Sessions is the number of open connections.
	Sessions int
	// Established counts the connections opened in either direction.
	Established uint64
	// Skipped counts the frames that this release cannot decode.
	Skipped uint64
	// Delayed and Refused count the control messages that the byte budget delayed or refused.
	Delayed, Refused uint64
}

// Stats returns a snapshot of the transport's counters.
func (t *TCPTransport) Stats() Stats {
	return Stats{
		ControlSent: t.meter.Sent(Control), ControlReceived: t.meter.Received(Control),
		CallPathSent: t.meter.Sent(CallPath), CallPathReceived: t.meter.Received(CallPath),
		Sessions: len(t.allSessions()), Established: t.established.Load(), Skipped: t.skipped.Load(),
		Delayed: t.budget.Delayed(), Refused: t.budget.Refused(),
	}
}
