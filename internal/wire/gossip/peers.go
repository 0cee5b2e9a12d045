package gossip

import (
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

const (
	// maxPeers bounds the names known at once.
	maxPeers = 4096
	// otherCellRetryInterval is the time between two joins to an address where another cell's relay has
	// answered, unless the relay that was there is heard of in this cell again.
	otherCellRetryInterval = time.Minute
)

// peerTable is what is known of the other relays by memberlist and envelopes. Its lock is held for a look-up
// only, as memberlist's calls must not wait for the membership.Node.
type peerTable struct {
	sync.Mutex
	// nodes are the relays by name, copies as last heard of: memberlist writes to its own.
	nodes map[string]*memberlist.Node
	alive map[string]bool // those of them that are alive in this cell
	// moved are those that memberlist has as alive, and that have answered from another cell.
	moved map[string]bool
	// leaving are those whose newest status says that they leave. They are not missed, and not joined.
	leaving map[string]bool
	// otherCellAt says when a relay of another cell has answered, by address.
	otherCellAt map[string]time.Time
	statuses    map[string][]byte // the newest envelope of a status, by name, as it came
	deliveries  map[string]*probing.DedupWindow
	// directories are the newest directories, by representative.
	directories map[string]directoryMark
}

func newPeerTable() *peerTable {
	return &peerTable{
		nodes:       map[string]*memberlist.Node{},
		alive:       map[string]bool{},
		moved:       map[string]bool{},
		leaving:     map[string]bool{},
		otherCellAt: map[string]time.Time{},
		statuses:    map[string][]byte{},
		deliveries:  map[string]*probing.DedupWindow{},
		directories: map[string]directoryMark{},
	}
}

// noteHealth notes what memberlist says of a relay.
func (t *peerTable) noteHealth(node memberlist.Node, health membership.Health) {
	t.Lock()
	defer t.Unlock()
	if t.nodes[node.Name] != nil || len(t.nodes) < maxPeers {
		t.nodes[node.Name] = &node
	}
	delete(t.moved, node.Name)
	switch known := t.nodes[node.Name] != nil; {
	case known && health == membership.HealthAlive:
		if !t.alive[node.Name] { // a new process: what the one before said does not count
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

// noteLifecycle notes what a relay's newest status says it does, and tells whether that makes one that counts
// as failed one that has left.
func (t *peerTable) noteLifecycle(name string, lifecycle membership.Lifecycle) (left bool) {
	t.Lock()
	defer t.Unlock()
	if lifecycle != membership.LifecycleLeaving {
		delete(t.leaving, name)
		return false
	}
	t.leaving[name] = true
	return t.nodes[name] != nil && !t.alive[name]
}

// goneHealth is what a relay that memberlist has as gone counts as.
func (t *peerTable) goneHealth(name string) membership.Health {
	t.Lock()
	defer t.Unlock()
	if t.leaving[name] {
		return membership.HealthLeft
	}
	return membership.HealthFailed
}

// noteMoved notes that a relay answers from another cell, and tells whether it counted as there until now.
func (t *peerTable) noteMoved(name string) bool {
	t.Lock()
	defer t.Unlock()
	if !t.alive[name] {
		return false
	}
	delete(t.alive, name)
	t.moved[name] = true
	return true
}

// noteBack notes that a relay answers from this cell, and tells whether it has answered from another before.
func (t *peerTable) noteBack(name string) bool {
	t.Lock()
	defer t.Unlock()
	if !t.moved[name] {
		return false
	}
	delete(t.moved, name)
	t.alive[name] = true
	return true
}

// node is a relay as last heard of, nil if it is not known.
func (t *peerTable) node(name string) *memberlist.Node {
	t.Lock()
	defer t.Unlock()
	return t.nodes[name]
}

// setStatus keeps the envelope of this relay's own status.
func (t *peerTable) setStatus(name string, text []byte) {
	t.Lock()
	defer t.Unlock()
	t.statuses[name] = text
}

// noteStatus keeps the envelope of a peer's status, and tells whether it is newer than the one kept.
func (t *peerTable) noteStatus(e envelope, text []byte) bool {
	t.Lock()
	defer t.Unlock()
	kept, known := t.statuses[e.From]
	if known {
		old, err := decodeEnvelope(kept)
		if err == nil && !old.olderThan(e) {
			return false
		}
	} else if len(t.statuses) >= maxPeers {
		return false
	}
	t.statuses[e.From] = text
	t.backInCell(e.From)
	return true
}

// backInCell has a peer that is missed joined again at once: its status has come, so it is in this cell
// whatever was found at its address before. The caller holds the lock.
func (t *peerTable) backInCell(name string) {
	if node := t.nodes[name]; node != nil && !t.alive[name] {
		delete(t.otherCellAt, node.Address())
	}
}

// allStatuses are the envelopes of all statuses known.
func (t *peerTable) allStatuses() [][]byte {
	t.Lock()
	defer t.Unlock()
	all := make([][]byte, 0, len(t.statuses))
	for _, text := range t.statuses {
		all = append(all, text)
	}
	return all
}

// isFirstDelivery tells whether an envelope has not come before. One of a sender too many counts as a replay.
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

// noteDirectory notes a directory, and tells whether it is newer than all of its representative's.
func (t *peerTable) noteDirectory(representative string, mark directoryMark) bool {
	t.Lock()
	defer t.Unlock()
	old, known := t.directories[representative]
	if known && !old.before(mark) || !known && len(t.directories) >= maxPeers {
		return false
	}
	t.directories[representative] = mark
	return true
}

// noteOtherCell notes that a relay of another cell has answered at an address.
func (t *peerTable) noteOtherCell(address string) {
	t.Lock()
	defer t.Unlock()
	t.otherCellAt[address] = time.Now()
}

// settledAddresses are addresses that need no join: of relays that are alive, and for a while of those of
// another cell.
func (t *peerTable) settledAddresses() map[string]bool {
	t.Lock()
	defer t.Unlock()
	settled := map[string]bool{}
	for address, at := range t.otherCellAt {
		settled[address] = time.Since(at) < otherCellRetryInterval
	}
	for name := range t.alive {
		settled[t.nodes[name].Address()] = true
	}
	return settled
}

// missingAddresses are those of relays that were there and are not, but for those that leave and the settled
// ones.
func (t *peerTable) missingAddresses(settled map[string]bool) (missing []string) {
	t.Lock()
	defer t.Unlock()
	for name, node := range t.nodes {
		if !t.alive[name] && !t.leaving[name] && !settled[node.Address()] {
			missing = append(missing, node.Address())
		}
	}
	return missing
}
