package ownership

func (k *Lease) extendRecord(c ExtendRecord) {
	e := k.byHandle[c.Handle]
	if e == nil || e.phase != owned {
		return
	}
	if c.TokenDelivered {
		e.desired.MinFencingToken = e.record.FencingToken
	}
	e.desired.FencingToken, e.desired.ExpiresUnixMs = e.record.FencingToken, max(e.desired.ExpiresUnixMs, c.ExpiresUnixMs)
	k.updateRecord(e)
}

// updateRecord writes the record anew if it is to change. The relay that holds a stream is the only one that writes
// its record, so the version is known unless an answer was lost.
func (k *Lease) updateRecord(e *entry) {
	switch {
	case e.updateID != 0 || e.phase != owned || !k.connected || e.desired == e.record:
	case e.versionUnknown:
		e.updateID = k.sendRequest(e, ReadRecord, Record{})
	default:
		e.updateSent = e.desired
		e.updateID = k.sendRequest(e, UpdateRecord, e.updateSent)
	}
}

func (k *Lease) recordUpdated(e *entry, r Reply) {
	wasRead := e.versionUnknown
	e.updateID = 0
	if e.phase != owned {
		return
	}
	switch {
	case r.Code == OK && wasRead:
		e.versionUnknown, e.version, e.record = false, r.Version, r.Record
		e.desired.MinFencingToken = max(e.desired.MinFencingToken, r.Record.MinFencingToken)
	case r.Code == OK:
		e.version, e.record = r.Version, e.updateSent
	case r.Code == NoReply, r.Code == VersionMismatch:
		e.versionUnknown = true
		if !k.connected || r.Code == NoReply {
			return // once connected
		}
	default:
		return // tried again with the next Confirm
	}
	k.updateRecord(e)
}
