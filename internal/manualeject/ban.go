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

// ErrUnknown refuses a call about an id that was never listed.
var ErrUnknown = errors.New("no such tile server was ever listed")

// Book is the set of tile servers that are out by hand, with the time each went out, in the relay's milliseconds.
type Book struct {
	out map[string]float64
}

// Down takes a server out at now. It tells whether that changed anything: a ban that stands keeps its time.
func (b *Book) Down(now float64, id string, listed bool) (changed bool, err error) {
	if !listed {
		return false, ErrUnknown
	}
	if _, ok := b.out[id]; ok {
		return false, nil
	}
	if b.out == nil {
		b.out = map[string]float64{}
	}
	b.out[id] = now
	return true, nil
}

// Since is how long the server has been out at now, in ms; false if it is not out.
func (b *Book) Since(now float64, id string) (float64, bool) {
	at, ok := b.out[id]
	return now - at, ok
}

// Up lets a server serve again. It tells whether that changed anything.
func (b *Book) Up(id string, listed bool) (changed bool, err error) {
	_, out := b.out[id]
	if !listed && !out {
		return false, ErrUnknown
	}
	if !out {
		return false, nil
	}
	delete(b.out, id)
	return true, nil
}

// Take replaces the bans by those kept, which another process of the relay may have changed, at now. A ban that
// stands keeps its time. It tells whether that changed anything.
func (b *Book) Take(now float64, kept []string) (changed bool) {
	next := make(map[string]float64, len(kept))
	for _, id := range kept {
		at, ok := b.out[id]
		if !ok {
			at, changed = now, true
		}
		next[id] = at
	}
	changed = changed || len(next) != len(b.out)
	b.out = next
	return changed
}

// Out is the set of bans.
func (b *Book) Out() map[string]bool {
	out := make(map[string]bool, len(b.out))
	for id := range b.out {
		out[id] = true
	}
	return out
}

// IDs are the ids that are out, in order.
func (b *Book) IDs() []string { return slices.Sorted(maps.Keys(b.out)) }

// Name is the name under which a ban on the id is kept: any id, whatever bytes it has, is one plain file name.
func Name(id string) string { return "out-" + hex.EncodeToString([]byte(id)) }

// FromName is the id of a name that Name made; false for any other name.
func FromName(name string) (string, bool) {
	if len(name) < 4 || name[:4] != "out-" {
		return "", false
	}
	id, err := hex.DecodeString(name[4:])
	return string(id), err == nil
}
