package ownership

// handleRelease separates a caller from its stream, and deletes the holder if the stream was acquired.
func (l *Lease) handleRelease(handle uint64) {
	e := l.byHandle[handle]
	if e == nil {
		l.emit(StreamReleased{handle})
		return
	}
	l.detachCaller(e)
	switch e.phase {
	case waitingForService, sessionLost:
		l.removeEntry(e)
		l.emit(StreamReleased{handle})
	case owned, expired:
		e.releasing = handle
		if l.connected {
			l.enterPhase(e, deletingHolder, DeleteHolder, Record{})
		} else {
			e.phase = uncertain
		}
	default: // the reply to the request under way finds no caller
		l.emit(StreamReleased{handle})
	}
}

// handleCheckReply goes on once it is known whether this session owns the holder.
func (l *Lease) handleCheckReply(e *entry, r Reply) {
	switch {
	case r.Code == OK && r.OwnerSession == l.sessionID:
		l.enterPhase(e, deletingHolder, DeleteHolder, Record{})
	case r.Code == OK, r.Code == NotFound:
		l.continueWithoutHolder(e)
	default:
		e.phase = uncertain
	}
}

// handleDeleteReply goes on once the holder is deleted, or may not be.
func (l *Lease) handleDeleteReply(e *entry, r Reply) {
	if r.Code == OK || r.Code == NotFound {
		l.continueWithoutHolder(e)
	} else {
		e.phase = uncertain
	}
}

// continueWithoutHolder is for an entry for which this session surely has no holder: a caller that waits
// acquires the stream, else the stream is forgotten.
func (l *Lease) continueWithoutHolder(e *entry) {
	if e.releasing != 0 {
		l.emit(StreamReleased{e.releasing})
		e.releasing = 0
	}
	if e.handle == 0 {
		l.removeEntry(e)
		return
	}
	l.startAcquisition(e)
}
