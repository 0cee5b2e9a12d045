package ownership

// handleExtendRecord sets the contents that an owned stream's record is to get, and starts the update.
func (l *Lease) handleExtendRecord(x ExtendRecord) {
	e := l.byHandle[x.Handle]
	if e == nil || e.phase != phaseOwned {
		return
	}
	e.desiredRecord.FencingToken = e.record.FencingToken
	if x.TokenDelivered {
		e.desiredRecord.MinFencingToken = e.record.FencingToken
	}
	e.desiredRecord.ExpiresUnixMs = max(e.desiredRecord.ExpiresUnixMs, x.ExpiresUnixMs)
	l.updateRecord(e)
}

// updateRecord writes the record if its contents have to change. Only the relay that owns a stream writes its
// record, so the version is known unless a reply was lost.
func (l *Lease) updateRecord(e *streamEntry) {
	inFlight := e.updateRequestID != 0
	switch {
	case inFlight || e.phase != phaseOwned || !l.connected || e.desiredRecord == e.record:
	case e.versionUnknown:
		e.updateRequestID = l.sendRequest(e, ReadRecord, Record{})
	default:
		e.sentRecord = e.desiredRecord
		e.updateRequestID = l.sendRequest(e, UpdateRecord, e.sentRecord)
	}
}

// handleUpdateReply handles the reply to a ReadRecord or UpdateRecord for an owned stream.
func (l *Lease) handleUpdateReply(e *streamEntry, r Reply) {
	e.updateRequestID = 0
	if e.phase != phaseOwned {
		return
	}
	switch r.Code {
	case OK:
		l.adoptRecord(e, r)
	case NoReply:
		e.versionUnknown = true // handleSessionConnected retries the update
		return
	case VersionMismatch:
		e.versionUnknown = true
	default:
		return // the next ExtendRecord retries the update
	}
	l.updateRecord(e)
}

// adoptRecord stores the entry's new record: from the reply to ReadRecord, or the contents that UpdateRecord
// wrote.
func (l *Lease) adoptRecord(e *streamEntry, r Reply) {
	e.version = r.Version
	if !e.versionUnknown {
		e.record = e.sentRecord
		return
	}
	e.versionUnknown = false
	e.record = r.Record
	e.desiredRecord.MinFencingToken = max(e.desiredRecord.MinFencingToken, r.Record.MinFencingToken)
}
