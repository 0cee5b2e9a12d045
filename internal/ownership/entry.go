package ownership

import (
	"slices"

	"capersail/internal/token"
)

// phase is where a stream stands.
type phase uint8

const (
	waitingForService phase = iota // a new stream, for the service to be reachable
	readingRecord                  // Read is out
	acquiring                      // Make or Take is out
	uncertain                      // the holder may exist and be ours: to be looked at once connected
	checkingHolder                 // Look is out
	owned                          // ours
	expired                        // may be lost; its caller is ending it
	sessionLost                    // surely lost; its caller is ending it
	deletingHolder                 // Delete is out
)

type entry struct {
	stream         token.StreamID
	phase          phase
	handle         uint64 // of the caller, 0 if there is none any more
	releasing      uint64 // of the caller that waits to hear that it is released
	answered       bool   // the caller has its Won or Refused
	fencingToken   uint64 // generation of the caller's token
	deadline       float64
	expiresUnixMs  int64
	createSent     bool // a new stream's Make was sent: its record may exist
	callerReplaced bool // the Take that is out was for an earlier caller, whose token was another
	requestID      uint64
	version        int32
	record         Record

	updateID       uint64 // the Read or Raise that moves the record's floor and end, 0 if none is out
	desired        Record // what the record is to become, if it differs
	updateSent     Record // what the Raise that is out makes of it
	versionUnknown bool   // the version is not known: read it first
}

// detachCaller separates an entry from its caller.
func (k *Lease) detachCaller(e *entry) {
	delete(k.byHandle, e.handle)
	delete(k.undecided, e.handle)
	e.handle, e.answered = 0, false
}

func (k *Lease) removeEntry(e *entry) {
	if k.streams[e.stream] == e {
		delete(k.streams, e.stream)
	}
	if e.handle != 0 {
		k.detachCaller(e)
	}
}

func anyEntry(*entry) bool { return true }

// entriesWhere lists the entries that are wanted in one order, so that a Keeper with the same past does the same.
func (k *Lease) entriesWhere(wanted func(*entry) bool) (all []*entry) {
	for _, e := range k.streams {
		if wanted(e) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return slices.Compare(a.stream[:], b.stream[:])
	})
	return all
}
