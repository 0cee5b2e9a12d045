package ownership

// handleAcquire takes a caller's wish for a stream. An entry without a caller is one whose holder is being
// deleted or checked: the new caller waits for that.
func (l *Lease) handleAcquire(a Acquire) {
	e := l.streams[a.Stream]
	switch {
	case a.FencingToken != 0 && !l.canAcquire():
		l.emit(AcquisitionRejected{a.Handle, ErrServiceUnreachable, l.retryAfter(ErrServiceUnreachable)})
		return
	case e != nil && e.taken():
		l.emit(AcquisitionRejected{a.Handle, ErrAlreadyOwned, l.retryAfter(ErrAlreadyOwned)})
		return
	case e == nil:
		e = &entry{stream: a.Stream, phase: waitingForService}
		l.streams[a.Stream] = e
	}
	l.attachCaller(e, a)
	e.callerReplaced = e.phase == acquiring
	if e.phase == waitingForService {
		l.startAcquisition(e)
	}
}

// taken tells whether the stream has a caller, or one that is still ending it.
func (e *entry) taken() bool {
	return e.handle != 0 || e.phase == expired || e.phase == sessionLost
}

// startAcquisition begins to acquire a stream that no request is under way for. A new stream is created; one
// that is resumed has its record read first.
func (l *Lease) startAcquisition(e *entry) {
	switch {
	case !l.canAcquire():
		e.phase = waitingForService
	case e.fencingToken == 0 && !e.createSent:
		e.createSent = true
		e.record = Record{FencingToken: 1, ExpiresUnixMs: e.expiresUnixMs}
		l.enterPhase(e, acquiring, CreateAndAcquire, e.record)
	default:
		l.enterPhase(e, readingRecord, ReadRecord, Record{})
	}
}

// handleReadReply goes on with an acquisition once the stream's record is known: it is rejected by the
// fencing token of the client's token, or asks for the holder.
func (l *Lease) handleReadReply(e *entry, r Reply) {
	isNew := e.fencingToken == 0
	switch {
	case e.handle == 0:
		l.removeEntry(e)
	case r.Code == NoReply && isNew:
		e.phase = waitingForService
	case r.Code == NoReply, r.Code == ServiceError:
		l.rejectAndRemove(e, ErrServiceUnreachable)
	case r.Code == NotFound && isNew:
		e.createSent = false
		l.startAcquisition(e)
	case r.Code == NotFound:
		l.rejectAndRemove(e, ErrUnknownStream)
	case !isNew && e.fencingToken < r.Record.MinFencingToken:
		l.rejectAndRemove(e, ErrStaleToken)
	case e.fencingToken > r.Record.FencingToken:
		l.rejectAndRemove(e, ErrUnknownStream)
	default:
		e.version = r.Version
		e.record = r.Record
		e.record.FencingToken++
		e.record.ExpiresUnixMs = max(e.record.ExpiresUnixMs, e.expiresUnixMs)
		l.enterPhase(e, acquiring, UpdateAndAcquire, e.record)
	}
}

// handleAcquireReply ends an acquisition, or cleans up after one that nobody wants any more.
func (l *Lease) handleAcquireReply(e *entry, r Reply) {
	orphaned := e.handle == 0 || e.callerReplaced
	e.callerReplaced = false
	switch {
	case r.Code == NoReply, r.Code == ServiceError:
		e.phase = uncertain
	case r.Code != OK && orphaned:
		l.continueWithoutHolder(e)
	case r.Code != OK && e.fencingToken == 0: // a new stream's record exists, by a reply that was lost
		l.startAcquisition(e)
	case r.Code == NotFound:
		l.rejectAndRemove(e, ErrUnknownStream)
	case r.Code != OK:
		l.rejectAndRemove(e, ErrAlreadyOwned)
	case orphaned:
		l.enterPhase(e, deletingHolder, DeleteHolder, Record{})
	case !l.canAcquire(): // a reply that took too long proves nothing about now
		if e.fencingToken != 0 {
			l.reject(e, ErrTimedOut)
		}
		l.enterPhase(e, deletingHolder, DeleteHolder, Record{})
	default:
		l.grantOwnership(e, r.Version)
	}
}

// grantOwnership gives the caller the stream, whose holder this session has created.
func (l *Lease) grantOwnership(e *entry, version int32) {
	e.phase = owned
	e.version = version
	e.versionUnknown = false
	e.updateID = 0
	e.desired = e.record
	e.answered = true
	delete(l.undecided, e.handle)
	l.emit(StreamAcquired{Handle: e.handle, FencingToken: e.record.FencingToken})
}
