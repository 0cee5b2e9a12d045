package gossip

import (
	"errors"
	"slices"
)

// SetKeys rotates the keys while the Node runs: the first seals from now on, all open.
func (n *Node) SetKeys(keys [][]byte) error {
	if n.keyring == nil || len(keys) == 0 {
		return errors.New("sealing cannot be switched on or off while the relay runs")
	}
	for _, k := range keys {
		if err := n.keyring.AddKey(k); err != nil {
			return err
		}
	}
	if err := n.keyring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, k := range n.keyring.GetKeys() {
		if !slices.ContainsFunc(keys, func(o []byte) bool { return string(o) == string(k) }) {
			if err := n.keyring.RemoveKey(k); err != nil {
				return err
			}
		}
	}
	return nil
}
