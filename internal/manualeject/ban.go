// Package manualeject decides which servers operators have ejected by hand. It does no I/O and keeps no clock: the driver round it
// keeps the ejections where a process that replaces this one finds them, and tells the relay.
//
// The operators' rules: a ban on an id that was never listed is refused; calls out may repeat and are one; a single
// call back ends the ban, whatever the list says meanwhile; and a ban holds over a process's replacement.
package manualeject

import (
	"encoding/hex"
	"errors"
	"maps"
	"slices"
)

// ErrNeverListed refuses a call about an id that was never listed.
var ErrNeverListed = errors.New("no such tile server was ever listed")

// Ejections is the set of tile servers that are out by hand, with the time each went out, in the relay's milliseconds.
type Ejections struct {
	ejectedAt map[string]float64
}

// Eject takes a server out at now. It tells whether that changed anything: a ban that stands keeps its time.
func (b *Ejections) Eject(now float64, id string, listed bool) (changed bool, err error) {
	if !listed {
		return false, ErrNeverListed
	}
	if _, ok := b.ejectedAt[id]; ok {
		return false, nil
	}
	if b.ejectedAt == nil {
		b.ejectedAt = map[string]float64{}
	}
	b.ejectedAt[id] = now
	return true, nil
}

// EjectedFor is how long the server has been out at now, in ms; false if it is not out.
func (b *Ejections) EjectedFor(now float64, id string) (float64, bool) {
	at, ok := b.ejectedAt[id]
	return now - at, ok
}

// Readmit lets a server serve again. It tells whether that changed anything.
func (b *Ejections) Readmit(id string, listed bool) (changed bool, err error) {
	_, out := b.ejectedAt[id]
	if !listed && !out {
		return false, ErrNeverListed
	}
	if !out {
		return false, nil
	}
	delete(b.ejectedAt, id)
	return true, nil
}

// Replace replaces the bans by those kept, which another process of the relay may have changed, at now. A ban that
// stands keeps its time. It tells whether that changed anything.
func (b *Ejections) Replace(now float64, kept []string) (changed bool) {
	next := make(map[string]float64, len(kept))
	for _, id := range kept {
		at, ok := b.ejectedAt[id]
		if !ok {
			at, changed = now, true
		}
		next[id] = at
	}
	changed = changed || len(next) != len(b.ejectedAt)
	b.ejectedAt = next
	return changed
}

// Set is the set of bans.
func (b *Ejections) Set() map[string]bool {
	out := make(map[string]bool, len(b.ejectedAt))
	for id := range b.ejectedAt {
		out[id] = true
	}
	return out
}

// IDs are the ids that are out, in order.
func (b *Ejections) IDs() []string { return slices.Sorted(maps.Keys(b.ejectedAt)) }

// FileName is the name under which a ban on the id is kept: any id, whatever bytes it has, is one plain file name.
func FileName(id string) string { return "out-" + hex.EncodeToString([]byte(id)) }

// IDFromFileName is the id of a name that Name made; false for any other name.
func IDFromFileName(name string) (string, bool) {
	if len(name) < 4 || name[:4] != "out-" {
		return "", false
	}
	id, err := hex.DecodeString(name[4:])
	return string(id), err == nil
}
