// Package manualeject holds the set of servers that operators have ejected, and decides what an operator's
// call changes. Its rules: a call for an id that was never in an endpoint list fails; calls are idempotent;
// one call ends an ejection, even if the server has left the endpoint list meanwhile; and an ejection
// outlives the process.
//
// Package internal/lifecycle uses it: it answers the operators' calls, stores each ejection as a file,
// which the process that replaces this one reads, and updates the request tables. Package manualeject does
// no I/O and has neither a clock nor a lock.
package manualeject

import (
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"
)

// ErrNeverListed is returned for an id that no endpoint list has ever contained.
var ErrNeverListed = errors.New("no such tile server was ever listed")

// Ejections is the set of servers that are ejected manually. The zero value is empty and ready to use. Times
// come from the caller, as durations since an origin that the caller chooses once.
type Ejections struct {
	ejectionTimes map[string]time.Duration // by id
}

// Eject ejects a server at the time now, and reports whether the set has changed: a server that is already
// ejected keeps the time of its ejection. The error is ErrNeverListed if the server was never listed.
func (e *Ejections) Eject(now time.Duration, id string, everListed bool) (changed bool, err error) {
	if !everListed {
		return false, ErrNeverListed
	}
	if _, ejected := e.ejectionTimes[id]; ejected {
		return false, nil
	}
	if e.ejectionTimes == nil {
		e.ejectionTimes = map[string]time.Duration{}
	}
	e.ejectionTimes[id] = now
	return true, nil
}

// Readmit ends the ejection of a server, and reports whether the set has changed. The error is ErrNeverListed
// if the server was never listed and is not ejected.
func (e *Ejections) Readmit(id string, everListed bool) (changed bool, err error) {
	_, ejected := e.ejectionTimes[id]
	if !ejected && !everListed {
		return false, ErrNeverListed
	}
	delete(e.ejectionTimes, id)
	return ejected, nil
}

// EjectedFor returns how long a server has been ejected, and false if it is not ejected.
func (e *Ejections) EjectedFor(now time.Duration, id string) (time.Duration, bool) {
	at, ejected := e.ejectionTimes[id]
	return now - at, ejected
}

// Replace replaces the set by the stored ids, which another process of the relay may have changed, and
// reports whether the set has changed. An id that was ejected already keeps the time of its ejection.
func (e *Ejections) Replace(now time.Duration, kept []string) (changed bool) {
	next := make(map[string]time.Duration, len(kept))
	for _, id := range kept {
		at, ejected := e.ejectionTimes[id]
		if !ejected {
			at = now
			changed = true
		}
		next[id] = at
	}
	changed = changed || len(next) != len(e.ejectionTimes)
	e.ejectionTimes = next
	return changed
}

// IDSet returns the ids of the ejected servers as a set.
func (e *Ejections) IDSet() map[string]bool {
	ejected := make(map[string]bool, len(e.ejectionTimes))
	for id := range e.ejectionTimes {
		ejected[id] = true
	}
	return ejected
}

// IDs returns the ids of the ejected servers, sorted.
func (e *Ejections) IDs() []string { return slices.Sorted(maps.Keys(e.ejectionTimes)) }

// filePrefix begins the name of each file that stores an ejection. It must not change, as processes of other
// versions look for it.
const filePrefix = "out-"

// FileName returns the name of the file that stores the ejection of a server. The id is encoded as
// hexadecimal digits, so any bytes in it give a valid file name without a path separator.
func FileName(id string) string { return filePrefix + hex.EncodeToString([]byte(id)) }

// IDFromFileName returns the id that FileName has encoded in a file name, and false for any other file name.
func IDFromFileName(name string) (string, bool) {
	text, ok := strings.CutPrefix(name, filePrefix)
	if !ok {
		return "", false
	}
	id, err := hex.DecodeString(text)
	return string(id), err == nil
}
