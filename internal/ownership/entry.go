package ownership

import (
	"slices"
	"time"

	"capersail/internal/token"
)

// phase is where a stream stands.
type phase uint8

const (
	waitingForService phase = iota // a new stream, until the service can be asked
	readingRecord                  // ReadRecord is under way
	acquiring                      // CreateAndAcquire or UpdateAndAcquire is under way
	uncertain                      // the holder may exist and be ours: it is checked once connected
	checkingHolder                 // CheckHolder is under way
	owned                          // the caller may serve it
	expired                        // may be lost; the caller is ending it
	sessionLost                    // surely lost; the caller is ending it
	deletingHolder                 // DeleteHolder is under way
)

// entry is one stream at this relay.
type entry struct {
	stream    token.StreamID
	phase     phase
	requestID uint64 // that the phase waits for

	callerState
	callerReplaced bool   // the acquisition under way was for an earlier caller, whose token was another
	releasing      uint64 // handle of the caller that waits for StreamReleased, 0 for none

	record         Record // as the service has it, or will once the acquisition under way is done
	version        int32  // of the record
	versionUnknown bool   // a reply to an update is missing: it is read before the next

	desired    Record // what an owned stream's record is to become
	updateSent Record // what the UpdateRecord under way makes of it
	updateID   uint64 // of the ReadRecord or UpdateRecord that leads to it, 0 if none is under way
}

// callerState is who wants or has an entry's stream.
type callerState struct {
	handle        uint64 // 0 for nobody
	answered      bool   // with StreamAcquired
	fencingToken  uint64 // of its client's token, 0 for a new stream
	deadline      time.Duration
	expiresUnixMs int64 // for the record
	createSent    bool  // a new stream's CreateAndAcquire was sent: its record may exist
}

// attachCaller makes the entry one of a new caller's.
func (l *Lease) attachCaller(e *entry, a Acquire) {
	e.callerState = callerState{
		handle:        a.Handle,
		fencingToken:  a.FencingToken,
		deadline:      a.Deadline,
		expiresUnixMs: a.ExpiresUnixMs,
	}
	l.byHandle[a.Handle] = e
	if a.FencingToken != 0 {
		l.undecided[a.Handle] = e
	}
}

// detachCaller separates an entry from its caller, whose token and times stand for what is still under way.
func (l *Lease) detachCaller(e *entry) {
	delete(l.byHandle, e.handle)
	delete(l.undecided, e.handle)
	e.handle, e.answered = 0, false
}

// removeEntry forgets a stream.
func (l *Lease) removeEntry(e *entry) {
	if l.streams[e.stream] == e {
		delete(l.streams, e.stream)
	}
	if e.handle != 0 {
		l.detachCaller(e)
	}
}

// entriesWhere lists entries by stream id, so that a Lease with the same past does the same.
func (l *Lease) entriesWhere(wanted func(*entry) bool) (all []*entry) {
	for _, e := range l.streams {
		if wanted(e) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *entry) int { return slices.Compare(a.stream[:], b.stream[:]) })
	return all
}

// sortedEntries lists all entries by stream id.
func (l *Lease) sortedEntries() []*entry {
	return l.entriesWhere(func(*entry) bool { return true })
}
