package ownership

func (k *Lease) release(handle uint64) {
	e := k.byHandle[handle]
	if e == nil {
		k.emit(Released{handle})
		return
	}
	p := e.phase
	k.detachCaller(e)
	switch p {
	case waitingForService, sessionLost:
		k.removeEntry(e)
		k.emit(Released{handle})
	case owned, expired:
		e.releasing = handle
		if k.connected {
			k.enterPhase(e, deletingHolder, DeleteHolder, Record{})
		} else {
			e.phase = uncertain
		}
	default: // a request is out: its answer will find no caller
		k.emit(Released{handle})
	}
}

// holderGone is for an entry whose node is surely not there: whoever waits goes on, else it is forgotten.
func (k *Lease) holderGone(e *entry) {
	if e.releasing != 0 {
		k.emit(Released{e.releasing})
		e.releasing = 0
	}
	if e.handle == 0 {
		k.removeEntry(e)
		return
	}
	k.startAcquisition(e)
}
