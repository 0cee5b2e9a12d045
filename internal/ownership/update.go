package ownership

// handleExtendRecord notes what an owned stream's record is to become.
func (l *Lease) handleExtendRecord(x ExtendRecord) {
	e := l.byHandle[x.Handle]
	if e == nil || e.phase != owned {
		return
	}
	e.desired.FencingToken = e.record.FencingToken
	if x.TokenDelivered {
		e.desired.MinFencingToken = e.record.FencingToken
	}
	e.desired.ExpiresUnixMs = max(e.desired.ExpiresUnixMs, x.ExpiresUnixMs)
	l.updateRecord(e)
}

// updateRecord writes the record if it is to change. The relay that owns a stream is the only one that writes
// its record, so the version is known unless a reply is missing.
func (l *Lease) updateRecord(e *entry) {
	underWay := e.updateID != 0
	switch {
	case underWay || e.phase != owned || !l.connected || e.desired == e.record:
	case e.versionUnknown:
		e.updateID = l.sendRequest(e, ReadRecord, Record{})
	default:
		e.updateSent = e.desired
		e.updateID = l.sendRequest(e, UpdateRecord, e.updateSent)
	}
}

// handleUpdateReply takes the reply to a read or an update of an owned stream's record.
func (l *Lease) handleUpdateReply(e *entry, r Reply) {
	e.updateID = 0
	if e.phase != owned {
		return
	}
	switch r.Code {
	case OK:
		l.adoptRecord(e, r)
	case NoReply:
		e.versionUnknown = true // handleSessionConnected goes on
		return
	case VersionMismatch:
		e.versionUnknown = true
	default:
		return // the next ExtendRecord goes on
	}
	l.updateRecord(e)
}

// adoptRecord takes the record from the reply to its read, or as the update has made it.
func (l *Lease) adoptRecord(e *entry, r Reply) {
	e.version = r.Version
	if !e.versionUnknown {
		e.record = e.updateSent
		return
	}
	e.versionUnknown = false
	e.record = r.Record
	e.desired.MinFencingToken = max(e.desired.MinFencingToken, r.Record.MinFencingToken)
}
