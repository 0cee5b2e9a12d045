// Package ban decides which tile servers are out by hand. It does no I/O and keeps no clock: the driver round it
// keeps the bans where a process that replaces this one finds them, and tells the relay.
//
// The operators' rules: a ban on an id that was never listed is refused; calls out may repeat and are one; a single
// call back ends the ban, whatever the list says meanwhile; and a ban holds over a process's replacement.
package ban

import (
	"encoding/hex"
	"errors"
	"maps"
	"slices"
)

// ErrUnknown refuses a call about an id that was never listed.
var ErrUnknown = errors.New("no such tile server was ever listed")

// Book is the set of tile servers that are out by hand.
type Book struct {
	out map[string]bool
}

// Down takes a server out. It tells whether that changed anything.
func (b *Book) Down(id string, listed bool) (changed bool, err error) {
	if !listed {
		return false, ErrUnknown
	}
	if b.out[id] {
		return false, nil
	}
	if b.out == nil {
		b.out = map[string]bool{}
	}
	b.out[id] = true
	return true, nil
}

// Up lets a server serve again. It tells whether that changed anything.
func (b *Book) Up(id string, listed bool) (changed bool, err error) {
	if !listed && !b.out[id] {
		return false, ErrUnknown
	}
	if !b.out[id] {
		return false, nil
	}
	delete(b.out, id)
	return true, nil
}

// Take replaces the bans by those kept, which another process of the relay may have changed. It tells whether
// that changed anything.
func (b *Book) Take(kept []string) (changed bool) {
	next := make(map[string]bool, len(kept))
	for _, id := range kept {
		next[id] = true
	}
	if maps.Equal(next, b.out) || len(next) == 0 && len(b.out) == 0 {
		return false
	}
	b.out = next
	return true
}

// Out is a copy of the bans.
func (b *Book) Out() map[string]bool { return maps.Clone(b.out) }

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
