package gossip

import (
	"bytes"
	"errors"
	"slices"
)

// errSealingFixed refuses to switch sealing on or off: both kinds of packets would be dropped by the other
// relays.
var errSealingFixed = errors.New("sealing cannot be switched on or off while the relay runs")

// SetKeys rotates the keys while the Node runs: the first seals from now on, all open.
func (n *Node) SetKeys(keys [][]byte) error {
	ring := n.mesh.keyring
	if ring == nil || len(keys) == 0 {
		return errSealingFixed
	}
	for _, key := range keys {
		if err := ring.AddKey(key); err != nil {
			return err
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range ring.GetKeys() {
		if slices.ContainsFunc(keys, func(key []byte) bool { return bytes.Equal(key, old) }) {
			continue
		}
		if err := ring.RemoveKey(old); err != nil {
			return err
		}
	}
	return nil
}
