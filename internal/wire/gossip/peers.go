package gossip

import (
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

const (
	// maxPeers bounds the number of relay names that are tracked.
	maxPeers = 4096
	// otherCellRetryInterval is the least time between two joins to an address where a relay of another cell
	// has answered. A status from the relay known at that address ends the wait.
	otherCellRetryInterval = time.Minute
)

// peerTable holds what memberlist and envelopes have told about the other relays. Its lock is held for short
// accesses only, as calls from memberlist must not wait for the membership.Node.
type peerTable struct {
	sync.Mutex
	// nodes maps names to relays as last reported. They are copies, as memberlist modifies its own.
	nodes map[string]*memberlist.Node
	alive map[string]bool // names of relays in nodes that are alive in this cell
	// movedAway holds relays that memberlist takes for alive but that have answered from another cell.
	movedAway map[string]bool
	// leaving holds relays whose newest status says that they leave. They do not count as missing and are not
	// joined.
	leaving map[string]bool
	// otherCellAt maps an address to the time at which a relay of another cell last answered there.
	otherCellAt map[string]time.Time
	statuses    map[string][]byte // newest status envelope of each relay, encoded as received
	deliveries  map[string]*probing.DedupWindow
	// directories maps a representative to the version of its newest directory.
	directories map[string]directoryVersion
}

func newPeerTable() *peerTable {
	return &peerTable{
		nodes:       map[string]*memberlist.Node{},
		alive:       map[string]bool{},
		movedAway:   map[string]bool{},
		leaving:     map[string]bool{},
		otherCellAt: map[string]time.Time{},
		statuses:    map[string][]byte{},
		deliveries:  map[string]*probing.DedupWindow{},
		directories: map[string]directoryVersion{},
	}
}

// setHealth records the health that memberlist reports of a relay.
func (t *peerTable) setHealth(node memberlist.Node, health membership.Health) {
	t.Lock()
	defer t.Unlock()
	if t.nodes[node.Name] != nil || len(t.nodes) < maxPeers {
		t.nodes[node.Name] = &node
	}
	delete(t.movedAway, node.Name)
	switch known := t.nodes[node.Name] != nil; {
	case known && health == membership.HealthAlive:
		if !t.alive[node.Name] { // a new process: the status of the previous one no longer applies
			delete(t.leaving, node.Name)
		}
		t.alive[node.Name] = true
	case known && health == membership.HealthLeft:
		t.leaving[node.Name] = true
		delete(t.alive, node.Name)
	default:
		delete(t.alive, node.Name)
	}
}

// setLifecycle records the lifecycle in a relay's newest status. It returns true if the relay is no longer
// alive and its status says that it leaves: it then has left, not failed.
func (t *peerTable) setLifecycle(name string, lifecycle membership.Lifecycle) (left bool) {
	t.Lock()
	defer t.Unlock()
	if lifecycle != membership.LifecycleLeaving {
		delete(t.leaving, name)
		return false
	}
	t.leaving[name] = true
	return t.nodes[name] != nil && !t.alive[name]
}

// exitHealth returns the health of a relay that memberlist reports as gone: Left if its newest status said
// that it leaves, else Failed.
func (t *peerTable) exitHealth(name string) membership.Health {
	t.Lock()
	defer t.Unlock()
	if t.leaving[name] {
		return membership.HealthLeft
	}
	return membership.HealthFailed
}

// markMoved records that a relay answers from another cell. It returns true if the relay was alive until now.
func (t *peerTable) markMoved(name string) bool {
	t.Lock()
	defer t.Unlock()
	if !t.alive[name] {
		return false
	}
	delete(t.alive, name)
	t.movedAway[name] = true
	return true
}

// markReturned records that a relay answers from this cell. It returns true if the relay was marked as moved.
func (t *peerTable) markReturned(name string) bool {
	t.Lock()
	defer t.Unlock()
	if !t.movedAway[name] {
		return false
	}
	delete(t.movedAway, name)
	t.alive[name] = true
	return true
}

// node returns a relay as last reported by memberlist, nil if it is not known.
func (t *peerTable) node(name string) *memberlist.Node {
	t.Lock()
	defer t.Unlock()
	return t.nodes[name]
}

// setStatus stores the envelope of this relay's own status.
func (t *peerTable) setStatus(name string, data []byte) {
	t.Lock()
	defer t.Unlock()
	t.statuses[name] = data
}

// updateStatus stores the envelope of a peer's status if it is newer than the stored one, and reports whether
// it is.
func (t *peerTable) updateStatus(e envelope, data []byte) bool {
	t.Lock()
	defer t.Unlock()
	stored, known := t.statuses[e.From]
	if known {
		old, err := decodeEnvelope(stored)
		if err == nil && !old.olderThan(e) {
			return false
		}
	} else if len(t.statuses) >= maxPeers {
		return false
	}
	t.statuses[e.From] = data
	t.clearOtherCellMark(e.From)
	return true
}

// clearOtherCellMark lets a peer that is not alive be joined again at once. The peer's status has been
// received, so it is in this cell even if a relay of another cell answered at its address before. The caller
// holds the lock.
func (t *peerTable) clearOtherCellMark(name string) {
	if node := t.nodes[name]; node != nil && !t.alive[name] {
		delete(t.otherCellAt, node.Address())
	}
}

// allStatuses returns the envelopes of all known statuses.
func (t *peerTable) allStatuses() [][]byte {
	t.Lock()
	defer t.Unlock()
	all := make([][]byte, 0, len(t.statuses))
	for _, data := range t.statuses {
		all = append(all, data)
	}
	return all
}

// isFirstDelivery reports whether an envelope is not a duplicate, and records it. Once maxPeers senders are
// tracked, it returns false for all envelopes of further senders.
func (t *peerTable) isFirstDelivery(from string, incarnation, seq uint64) bool {
	t.Lock()
	defer t.Unlock()
	window := t.deliveries[from]
	if window == nil {
		if len(t.deliveries) >= maxPeers {
			return false
		}
		window = &probing.DedupWindow{}
		t.deliveries[from] = window
	}
	return window.Accept(incarnation, seq)
}

// updateDirectory records the version of a directory if it is newer than the last one of its representative,
// and reports whether it is.
func (t *peerTable) updateDirectory(representative string, version directoryVersion) bool {
	t.Lock()
	defer t.Unlock()
	old, known := t.directories[representative]
	if known && !old.olderThan(version) || !known && len(t.directories) >= maxPeers {
		return false
	}
	t.directories[representative] = version
	return true
}

// recordOtherCell records that a relay of another cell has answered at an address.
func (t *peerTable) recordOtherCell(address string) {
	t.Lock()
	defer t.Unlock()
	t.otherCellAt[address] = time.Now()
}

// addressesNotToJoin returns the addresses that are not to be joined: those of relays that are alive, and
// those where a relay of another cell has answered within otherCellRetryInterval.
func (t *peerTable) addressesNotToJoin() map[string]bool {
	t.Lock()
	defer t.Unlock()
	excluded := map[string]bool{}
	for address, at := range t.otherCellAt {
		excluded[address] = time.Since(at) < otherCellRetryInterval
	}
	for name := range t.alive {
		excluded[t.nodes[name].Address()] = true
	}
	return excluded
}

// missingAddresses returns the addresses of known relays that are not alive, without those that leave and
// without the excluded ones.
func (t *peerTable) missingAddresses(excluded map[string]bool) (missing []string) {
	t.Lock()
	defer t.Unlock()
	for name, node := range t.nodes {
		if !t.alive[name] && !t.leaving[name] && !excluded[node.Address()] {
			missing = append(missing, node.Address())
		}
	}
	return missing
}
