package ownership

import (
	"slices"
	"time"

	"capersail/internal/token"
)

// phase is the state of a stream at this relay.
type phase uint8

const (
	phaseWaitingForService phase = iota // a new stream; the service cannot be reached yet
	phaseReadingRecord                  // ReadRecord is in flight
	phaseAcquiring                      // CreateAndAcquire or UpdateAndAcquire is in flight
	phaseHolderUncertain                // this session may own a holder, which is checked once connected
	phaseCheckingHolder                 // CheckHolder is in flight
	phaseOwned                          // the caller may serve the stream
	phaseLeaseExpired                   // ownership may be lost; the caller is ending the stream
	phaseSessionLost                    // ownership is lost; the caller is ending the stream
	phaseDeletingHolder                 // DeleteHolder is in flight
)

// streamEntry is the state of one stream at this relay.
type streamEntry struct {
	stream    token.StreamID
	phase     phase
	requestID uint64 // request whose reply the phase waits for

	callerState
	callerReplaced  bool   // the acquisition in flight was started by an earlier caller with another token
	releasingHandle uint64 // handle of the caller that waits for StreamReleased; 0 for none

	record         Record // as stored by the service, or as the acquisition in flight will store it
	version        int32  // of the record
	versionUnknown bool   // the reply to an update was lost: the record is read before the next update

	desiredRecord   Record // contents that the record of an owned stream is to get
	sentRecord      Record // contents in the UpdateRecord that is in flight
	updateRequestID uint64 // the ReadRecord or UpdateRecord in flight for an update; 0 for none
}

// callerState describes the caller that is acquiring or owns an entry's stream.
type callerState struct {
	callerHandle       uint64 // 0 for no caller
	acquiredEmitted    bool   // StreamAcquired was emitted for this caller
	clientFencingToken uint64 // from the client's resume token; 0 for a new stream
	deadline           time.Duration
	expiresUnixMs      int64 // expiry time to store in the record
	createSent         bool  // CreateAndAcquire was sent for a new stream, so its record may exist
}

// attachCaller assigns the entry to a new caller.
func (l *Lease) attachCaller(e *streamEntry, a Acquire) {
	e.callerState = callerState{
		callerHandle:       a.Handle,
		clientFencingToken: a.FencingToken,
		deadline:           a.Deadline,
		expiresUnixMs:      a.ExpiresUnixMs,
	}
	l.byHandle[a.Handle] = e
	if a.FencingToken != 0 {
		l.pendingResumes[a.Handle] = e
	}
}

// detachCaller separates an entry from its caller. The caller's fencing token and times are kept, as requests
// that are still in flight use them.
func (l *Lease) detachCaller(e *streamEntry) {
	delete(l.byHandle, e.callerHandle)
	delete(l.pendingResumes, e.callerHandle)
	e.callerHandle, e.acquiredEmitted = 0, false
}

// removeEntry deletes a stream's entry.
func (l *Lease) removeEntry(e *streamEntry) {
	if l.streams[e.stream] == e {
		delete(l.streams, e.stream)
	}
	if e.callerHandle != 0 {
		l.detachCaller(e)
	}
}

// entriesWhere returns the matching entries in the order of their stream ids, so that a Lease is
// deterministic: the same events lead to the same actions.
func (l *Lease) entriesWhere(matches func(*streamEntry) bool) (all []*streamEntry) {
	for _, e := range l.streams {
		if matches(e) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *streamEntry) int { return slices.Compare(a.stream[:], b.stream[:]) })
	return all
}

// sortedEntries returns all entries in the order of their stream ids.
func (l *Lease) sortedEntries() []*streamEntry {
	return l.entriesWhere(func(*streamEntry) bool { return true })
}
