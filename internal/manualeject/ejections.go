// Package manualeject keeps which servers operators have ejected, and decides what a call of theirs
// changes. Its rules: a call about an id that was never listed fails; repeated calls are one; one call ends
// an ejection, whatever the endpoint list says meanwhile; and an ejection outlasts the process.
//
// internal/lifecycle drives it: it answers the operators' calls, keeps each ejection as a file that a process
// which replaces this one finds, and tells the request tables. This package does no I/O, keeps no clock and
// has no lock.
package manualeject

import (
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"
)

// ErrNeverListed fails a call about an id that no endpoint list has named.
var ErrNeverListed = errors.New("no such tile server was ever listed")

// Ejections is the set of servers that are ejected manually. The zero one is empty and ready. Instants are the
// caller's, as durations since any one origin.
type Ejections struct {
	ejectedAt map[string]time.Duration // by id
}

// Eject ejects a server. It tells whether that changed anything: an ejection that stands keeps its instant.
// It fails with ErrNeverListed if the server was never listed.
func (e *Ejections) Eject(now time.Duration, id string, everListed bool) (changed bool, err error) {
	if !everListed {
		return false, ErrNeverListed
	}
	if _, ejected := e.ejectedAt[id]; ejected {
		return false, nil
	}
	if e.ejectedAt == nil {
		e.ejectedAt = map[string]time.Duration{}
	}
	e.ejectedAt[id] = now
	return true, nil
}

// Readmit ends the ejection of a server. It tells whether that changed anything. It fails with ErrNeverListed
// if the server was never listed and is not ejected.
func (e *Ejections) Readmit(id string, everListed bool) (changed bool, err error) {
	_, ejected := e.ejectedAt[id]
	if !ejected && !everListed {
		return false, ErrNeverListed
	}
	delete(e.ejectedAt, id)
	return ejected, nil
}

// EjectedFor returns how long the server has been ejected, false if it is not.
func (e *Ejections) EjectedFor(now time.Duration, id string) (time.Duration, bool) {
	at, ejected := e.ejectedAt[id]
	return now - at, ejected
}

// Replace replaces the ejections by those kept, which another process of the relay may have changed. One that
// stands keeps its instant. It tells whether that changed anything.
func (e *Ejections) Replace(now time.Duration, kept []string) (changed bool) {
	next := make(map[string]time.Duration, len(kept))
	for _, id := range kept {
		at, ejected := e.ejectedAt[id]
		if !ejected {
			at = now
			changed = true
		}
		next[id] = at
	}
	changed = changed || len(next) != len(e.ejectedAt)
	e.ejectedAt = next
	return changed
}

// IDSet returns the ids that are ejected, as a set.
func (e *Ejections) IDSet() map[string]bool {
	ejected := make(map[string]bool, len(e.ejectedAt))
	for id := range e.ejectedAt {
		ejected[id] = true
	}
	return ejected
}

// IDs returns the ids that are ejected, in order.
func (e *Ejections) IDs() []string { return slices.Sorted(maps.Keys(e.ejectedAt)) }

// filePrefix begins the name of each file that keeps an ejection. Processes of other versions read it.
const filePrefix = "out-"

// FileName returns the name of the file that keeps an ejection. Any id, whatever bytes it has, is one plain
// file name.
func FileName(id string) string { return filePrefix + hex.EncodeToString([]byte(id)) }

// IDFromFileName returns the id of a name that FileName made, false for any other name.
func IDFromFileName(name string) (string, bool) {
	text, ok := strings.CutPrefix(name, filePrefix)
	if !ok {
		return "", false
	}
	id, err := hex.DecodeString(text)
	return string(id), err == nil
}
