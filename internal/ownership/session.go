package ownership

// noteSessionRenewal updates the send time of the newest message that the service has answered in this
// session.
func (l *Lease) noteSessionRenewal(ev Event) {
	switch e := ev.(type) {
	case SessionRenewed:
		l.renewedAt = max(l.renewedAt, e.SentAt)
	case SessionConnected:
		if e.SessionID == l.sessionID {
			l.renewedAt = max(l.renewedAt, e.SentAt)
		}
	}
}

// handleSessionConnected starts a new session or resumes the current one. A new session owns no holders. For
// a resumed session, uncertain holders are checked before anything else is done with their streams.
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
		case phaseHolderUncertain:
			l.enterPhase(e, phaseCheckingHolder, CheckHolder, Record{})
		case phaseWaitingForService:
			l.startAcquisition(e)
		case phaseOwned:
			l.updateRecord(e)
		}
	}
}

// expireLease emits LeaseExpired for all owned streams once ValidUntil is reached.
func (l *Lease) expireLease() {
	if l.sessionID == 0 || l.now < l.ValidUntil() {
		return
	}
	for _, e := range l.sortedEntries() {
		if e.phase == phaseOwned {
			e.phase = phaseLeaseExpired
			l.emit(LeaseExpired{e.callerHandle})
		}
	}
}

// endSession ends the current session. The service has deleted the session's holders, or never created them.
func (l *Lease) endSession() {
	l.sessionID, l.connected = 0, false
	for _, e := range l.sortedEntries() {
		switch e.phase {
		case phaseOwned:
			e.phase = phaseSessionLost
			l.emit(LeaseExpired{e.callerHandle})
		case phaseLeaseExpired:
			e.phase = phaseSessionLost
		case phaseSessionLost, phaseWaitingForService:
		default:
			delete(l.pendingRequests, e.requestID) // a reply that arrives later belongs to the old session
			l.continueWithoutHolder(e)
		}
	}
}
