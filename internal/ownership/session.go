package ownership

// sessionConnected takes up a session. With a new one nothing of the old stands; with the same one what is in doubt is
// looked at first.
func (k *Lease) sessionConnected(c SessionConnected) {
	if c.SessionID != k.sessionID {
		k.endSession()
	}
	if k.sessionID == 0 {
		k.renewedAt = c.SentAt
	}
	k.sessionID, k.sessionTimeout, k.connected = c.SessionID, c.Timeout, true
	for _, e := range k.entriesWhere(anyEntry) {
		switch e.phase {
		case uncertain:
			k.enterPhase(e, checkingHolder, CheckHolder, Record{})
		case waitingForService:
			k.startAcquisition(e)
		case owned:
			k.updateRecord(e)
		}
	}
}

// expireLease ends the trust in all claims whose time is over.
func (k *Lease) expireLease() {
	if k.sessionID == 0 || k.now < k.ValidUntil() {
		return
	}
	for _, e := range k.entriesWhere(anyEntry) {
		if e.phase == owned {
			e.phase = expired
			k.emit(LeaseExpired{e.handle})
		}
	}
}

// endSession forgets the session. Its nodes are gone, or were never made.
func (k *Lease) endSession() {
	k.sessionID, k.connected = 0, false
	for _, e := range k.entriesWhere(anyEntry) {
		switch e.phase {
		case owned:
			e.phase = sessionLost
			k.emit(LeaseExpired{e.handle})
		case expired:
			e.phase = sessionLost
		case sessionLost, waitingForService:
		default:
			delete(k.pending, e.requestID) // an answer that still comes is the old session's
			k.holderGone(e)
		}
	}
}
