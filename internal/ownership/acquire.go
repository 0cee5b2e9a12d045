package ownership

func (k *Lease) acquire(w Acquire) {
	e := k.streams[w.Stream]
	switch {
	case w.FencingToken != 0 && !k.canAcquire():
		k.emit(Rejected{w.Handle, ErrServiceUnreachable, k.retryAfter(ErrServiceUnreachable)})
		return
	case e != nil && e.handle != 0, e != nil && (e.phase == expired || e.phase == sessionLost):
		k.emit(Rejected{w.Handle, ErrAlreadyOwned, k.retryAfter(ErrAlreadyOwned)})
		return
	case e == nil:
		e = &entry{stream: w.Stream, phase: waitingForService}
		k.streams[w.Stream] = e
	}
	// An entry without a caller is one whose node is being deleted or looked at: the new caller waits for that.
	e.handle, e.answered, e.fencingToken, e.deadline, e.expiresUnixMs, e.createSent = w.Handle, false, w.FencingToken, w.Deadline, w.ExpiresUnixMs, false
	k.byHandle[w.Handle] = e
	if w.FencingToken != 0 {
		k.undecided[w.Handle] = e
	}
	e.callerReplaced = e.phase == acquiring
	if e.phase == waitingForService {
		k.startAcquisition(e)
	}
}

// startAcquisition takes on a stream that nothing is out for.
func (k *Lease) startAcquisition(e *entry) {
	switch {
	case !k.canAcquire():
		e.phase = waitingForService
	case e.fencingToken == 0 && !e.createSent:
		e.createSent = true
		e.record = Record{FencingToken: 1, ExpiresUnixMs: e.expiresUnixMs}
		k.enterPhase(e, acquiring, CreateAndAcquire, e.record)
	default:
		k.enterPhase(e, readingRecord, ReadRecord, Record{})
	}
}

func (k *Lease) recordRead(e *entry, r Reply) {
	switch {
	case e.handle == 0:
		k.removeEntry(e)
	case r.Code == NoReply && e.fencingToken == 0:
		e.phase = waitingForService
	case r.Code == NoReply || r.Code == ServiceError:
		k.rejectAndRemove(e, ErrServiceUnreachable)
	case r.Code == NotFound && e.fencingToken == 0:
		e.createSent = false
		k.startAcquisition(e)
	case r.Code == NotFound:
		k.rejectAndRemove(e, ErrUnknownStream)
	case e.fencingToken != 0 && e.fencingToken < r.Record.MinFencingToken:
		k.rejectAndRemove(e, ErrStaleToken)
	case e.fencingToken > r.Record.FencingToken:
		k.rejectAndRemove(e, ErrUnknownStream)
	default:
		e.version = r.Version
		next := r.Record
		next.FencingToken++
		next.ExpiresUnixMs = max(next.ExpiresUnixMs, e.expiresUnixMs)
		e.record = next
		k.enterPhase(e, acquiring, UpdateAndAcquire, next)
	}
}

func (k *Lease) acquisitionReplied(e *entry, r Reply) {
	orphan := e.handle == 0 || e.callerReplaced
	e.callerReplaced = false
	switch {
	case r.Code == NoReply || r.Code == ServiceError:
		e.phase = uncertain
	case r.Code != OK && orphan:
		k.holderGone(e)
	case r.Code != OK && e.fencingToken == 0: // a new stream's record stands, by an answer that was lost
		k.startAcquisition(e)
	case r.Code == NotFound:
		k.rejectAndRemove(e, ErrUnknownStream)
	case r.Code != OK:
		k.rejectAndRemove(e, ErrAlreadyOwned)
	case orphan:
		k.enterPhase(e, deletingHolder, DeleteHolder, Record{})
	case !k.canAcquire(): // an answer that took too long proves nothing of now
		if e.fencingToken != 0 {
			k.reject(e, e.handle, ErrTimedOut)
		}
		k.enterPhase(e, deletingHolder, DeleteHolder, Record{})
	default:
		e.phase, e.version, e.answered, e.versionUnknown, e.updateID = owned, r.Version, true, false, 0
		e.desired = e.record
		delete(k.undecided, e.handle)
		k.emit(Acquired{e.handle, e.record.FencingToken})
	}
}
