package ownership

// handleAcquire starts an acquisition, or rejects it if the stream is in use or the service cannot be
// reached. An entry without a caller is one whose holder is still being deleted or checked; the new caller
// waits until that has finished.
func (l *Lease) handleAcquire(a Acquire) {
	e := l.streams[a.Stream]
	switch {
	case a.FencingToken != 0 && !l.canAcquire():
		l.emit(AcquisitionRejected{a.Handle, ErrServiceUnreachable, l.retryAfter(ErrServiceUnreachable)})
		return
	case e != nil && e.inUse():
		l.emit(AcquisitionRejected{a.Handle, ErrAlreadyOwned, l.retryAfter(ErrAlreadyOwned)})
		return
	case e == nil:
		e = &streamEntry{stream: a.Stream, phase: phaseWaitingForService}
		l.streams[a.Stream] = e
	}
	l.attachCaller(e, a)
	e.callerReplaced = e.phase == phaseAcquiring
	if e.phase == phaseWaitingForService {
		l.startAcquisition(e)
	}
}

// inUse reports whether the stream has a caller, including one that is ending it after the lease was lost.
func (e *streamEntry) inUse() bool {
	return e.callerHandle != 0 || e.phase == phaseLeaseExpired || e.phase == phaseSessionLost
}

// startAcquisition begins to acquire a stream for which no request is in flight. The record of a new stream
// is created; the record of a resumed stream is read first.
func (l *Lease) startAcquisition(e *streamEntry) {
	switch {
	case !l.canAcquire():
		e.phase = phaseWaitingForService
	case e.clientFencingToken == 0 && !e.createSent:
		e.createSent = true
		e.record = Record{FencingToken: 1, ExpiresUnixMs: e.expiresUnixMs}
		l.enterPhase(e, phaseAcquiring, CreateAndAcquire, e.record)
	default:
		l.enterPhase(e, phaseReadingRecord, ReadRecord, Record{})
	}
}

// handleReadReply continues an acquisition after the stream's record was read. It rejects the caller if the
// fencing token of the client's resume token does not fit the record, and otherwise requests the holder node.
func (l *Lease) handleReadReply(e *streamEntry, r Reply) {
	isNew := e.clientFencingToken == 0
	switch {
	case e.callerHandle == 0:
		l.removeEntry(e)
	case r.Code == NoReply && isNew:
		e.phase = phaseWaitingForService
	case r.Code == NoReply, r.Code == ServiceError:
		l.rejectAndRemove(e, ErrServiceUnreachable)
	case r.Code == NotFound && isNew:
		e.createSent = false
		l.startAcquisition(e)
	case r.Code == NotFound:
		l.rejectAndRemove(e, ErrUnknownStream)
	case !isNew && e.clientFencingToken < r.Record.MinFencingToken:
		l.rejectAndRemove(e, ErrStaleToken)
	case e.clientFencingToken > r.Record.FencingToken:
		l.rejectAndRemove(e, ErrUnknownStream)
	default:
		e.version = r.Version
		e.record = r.Record
		e.record.FencingToken++
		e.record.ExpiresUnixMs = max(e.record.ExpiresUnixMs, e.expiresUnixMs)
		l.enterPhase(e, phaseAcquiring, UpdateAndAcquire, e.record)
	}
}

// handleAcquireReply ends an acquisition. If its caller has gone or was replaced, it deletes the holder node
// that the acquisition created.
func (l *Lease) handleAcquireReply(e *streamEntry, r Reply) {
	orphaned := e.callerHandle == 0 || e.callerReplaced
	e.callerReplaced = false
	switch {
	case r.Code == NoReply, r.Code == ServiceError:
		e.phase = phaseHolderUncertain
	case r.Code != OK && orphaned:
		l.continueWithoutHolder(e)
	case r.Code != OK && e.clientFencingToken == 0: // an earlier request without a reply created the record
		l.startAcquisition(e)
	case r.Code == NotFound:
		l.rejectAndRemove(e, ErrUnknownStream)
	case r.Code != OK:
		l.rejectAndRemove(e, ErrAlreadyOwned)
	case orphaned:
		l.enterPhase(e, phaseDeletingHolder, DeleteHolder, Record{})
	case !l.canAcquire(): // the lease expired before the reply arrived
		if e.clientFencingToken != 0 {
			l.reject(e, ErrTimedOut)
		}
		l.enterPhase(e, phaseDeletingHolder, DeleteHolder, Record{})
	default:
		l.grantOwnership(e, r.Version)
	}
}

// grantOwnership notifies the caller that it owns the stream; this session has created its holder node.
func (l *Lease) grantOwnership(e *streamEntry, version int32) {
	e.phase = phaseOwned
	e.version = version
	e.versionUnknown = false
	e.updateRequestID = 0
	e.desiredRecord = e.record
	e.acquiredEmitted = true
	delete(l.pendingResumes, e.callerHandle)
	l.emit(StreamAcquired{Handle: e.callerHandle, FencingToken: e.record.FencingToken})
}
