package ownership

// handleRelease detaches a caller from its stream, and deletes the holder if the stream was acquired.
func (l *Lease) handleRelease(handle uint64) {
	e := l.byHandle[handle]
	if e == nil {
		l.emit(StreamReleased{handle})
		return
	}
	l.detachCaller(e)
	switch e.phase {
	case phaseWaitingForService, phaseSessionLost:
		l.removeEntry(e)
		l.emit(StreamReleased{handle})
	case phaseOwned, phaseLeaseExpired:
		e.releasingHandle = handle
		if l.connected {
			l.enterPhase(e, phaseDeletingHolder, DeleteHolder, Record{})
		} else {
			e.phase = phaseHolderUncertain
		}
	default: // the reply to the request in flight will find no caller and clean up
		l.emit(StreamReleased{handle})
	}
}

// handleCheckReply deletes the holder if this session owns it, and otherwise continues without a holder.
func (l *Lease) handleCheckReply(e *streamEntry, r Reply) {
	switch {
	case r.Code == OK && r.OwnerSession == l.sessionID:
		l.enterPhase(e, phaseDeletingHolder, DeleteHolder, Record{})
	case r.Code == OK, r.Code == NotFound:
		l.continueWithoutHolder(e)
	default:
		e.phase = phaseHolderUncertain
	}
}

// handleDeleteReply continues without a holder once it is deleted; if the result is unknown, the holder has
// to be checked.
func (l *Lease) handleDeleteReply(e *streamEntry, r Reply) {
	if r.Code == OK || r.Code == NotFound {
		l.continueWithoutHolder(e)
	} else {
		e.phase = phaseHolderUncertain
	}
}

// continueWithoutHolder handles an entry for which this session has no holder for certain: it confirms a
// pending release, then acquires the stream for a waiting caller, or removes the entry if there is none.
func (l *Lease) continueWithoutHolder(e *streamEntry) {
	if e.releasingHandle != 0 {
		l.emit(StreamReleased{e.releasingHandle})
		e.releasingHandle = 0
	}
	if e.callerHandle == 0 {
		l.removeEntry(e)
		return
	}
	l.startAcquisition(e)
}
