package ownership

// renew notes when the session was last proven to stand.
func (l *Lease) renew(ev Event) {
	switch e := ev.(type) {
	case SessionRenewed:
		l.renewedAt = max(l.renewedAt, e.SentAt)
	case SessionConnected:
		if e.SessionID == l.sessionID {
			l.renewedAt = max(l.renewedAt, e.SentAt)
		}
	}
}

// handleSessionConnected takes up a session. Nothing of an earlier session is left in a new one; in the same
// one, holders that may be ours are checked first.
func (l *Lease) handleSessionConnected(c SessionConnected) {
	if c.SessionID != l.sessionID {
		l.endSession()
	}
	if l.sessionID == 0 {
		l.renewedAt = c.SentAt
	}
	l.sessionID, l.sessionTimeout, l.connected = c.SessionID, c.Timeout, true
	for _, e := range l.sortedEntries() {
		switch e.phase {
		case uncertain:
			l.enterPhase(e, checkingHolder, CheckHolder, Record{})
		case waitingForService:
			l.startAcquisition(e)
		case owned:
			l.updateRecord(e)
		}
	}
}

// expireLease ends the trust in all owned streams once ValidUntil has come.
func (l *Lease) expireLease() {
	if l.sessionID == 0 || l.now < l.ValidUntil() {
		return
	}
	for _, e := range l.sortedEntries() {
		if e.phase == owned {
			e.phase = expired
			l.emit(LeaseExpired{e.handle})
		}
	}
}

// endSession forgets the session. Its holders are gone, or were never created.
func (l *Lease) endSession() {
	l.sessionID, l.connected = 0, false
	for _, e := range l.sortedEntries() {
		switch e.phase {
		case owned:
			e.phase = sessionLost
			l.emit(LeaseExpired{e.handle})
		case expired:
			e.phase = sessionLost
		case sessionLost, waitingForService:
		default:
			delete(l.pending, e.requestID) // a reply that still comes is the old session's
			l.continueWithoutHolder(e)
		}
	}
}
