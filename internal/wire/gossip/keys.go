package gossip

import (
	"bytes"
	"errors"
	"slices"
)

// errEncryptionFixed is the error for switching encryption on or off in a running relay. It is refused, as
// relays with encryption and relays without it drop each other's packets.
var errEncryptionFixed = errors.New("gossip encryption cannot be switched on or off without a restart")

// SetKeys replaces the encryption keys while the Node runs. The first key encrypts from now on, and all keys
// decrypt.
func (n *Node) SetKeys(keys [][]byte) error {
	ring := n.gossip.keyring
	if ring == nil || len(keys) == 0 {
		return errEncryptionFixed
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
