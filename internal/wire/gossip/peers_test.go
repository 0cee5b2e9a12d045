package gossip

import (
	"net"
	"slices"
	"testing"

	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
)

func memberlistNode(name string, port uint16) memberlist.Node {
	return memberlist.Node{Name: name, Addr: net.IPv4(127, 0, 0, 1), Port: port}
}

// A relay that has failed is missing, and so to be joined, until it is alive again. A relay that has left is
// not. Neither is one at whose address a relay of another cell has answered, until its status is received: in
// a join both sides exchange their complete state.
func TestMissingRelaysAreThoseToJoin(t *testing.T) {
	peers := newPeerTable()
	for i, name := range []string{"alive", "failed", "left", "moved"} {
		peers.setHealth(memberlistNode(name, uint16(1+i)), membership.HealthAlive)
	}
	peers.setHealth(memberlistNode("failed", 2), membership.HealthFailed)
	peers.setHealth(memberlistNode("left", 3), membership.HealthLeft)
	peers.setHealth(memberlistNode("moved", 4), membership.HealthFailed)
	peers.recordOtherCell("127.0.0.1:4")
	missing := func() []string {
		found := peers.missingAddresses(peers.addressesNotToJoin())
		slices.Sort(found)
		return found
	}
	if got := missing(); !slices.Equal(got, []string{"127.0.0.1:2"}) {
		t.Errorf("missing addresses: got %v, want only 127.0.0.1:2", got)
	}
	peers.updateStatus(envelope{From: "moved", Incarnation: 1, Seq: 1}, nil)
	if got := missing(); !slices.Equal(got, []string{"127.0.0.1:2", "127.0.0.1:4"}) {
		t.Errorf("missing addresses after a status of the moved relay: got %v, want 127.0.0.1:2 and :4", got)
	}
	peers.setHealth(memberlistNode("failed", 2), membership.HealthAlive)
	peers.setHealth(memberlistNode("moved", 4), membership.HealthAlive)
	if got := missing(); len(got) != 0 {
		t.Errorf("missing addresses when all are alive again: got %v, want none", got)
	}
}

// An older status never replaces a newer one: they are ordered by incarnation, then by sequence number.
// Gossip delivers statuses in any order.
func TestOnlyNewerStatusesAreTaken(t *testing.T) {
	peers := newPeerTable()
	for _, one := range []struct {
		incarnation, seq uint64
		taken            bool
	}{
		{2, 5, true},
		{2, 5, false},
		{2, 4, false},
		{1, 9, false},
		{2, 6, true},
		{3, 1, true},
		{2, 7, false},
	} {
		data, err := encodeEnvelope("peer", one.incarnation, one.seq, kindStatus, 0)
		if err != nil {
			t.Fatal(err)
		}
		e, err := decodeEnvelope(data)
		if err != nil {
			t.Fatal(err)
		}
		if taken := peers.updateStatus(e, data); taken != one.taken {
			t.Errorf("status of incarnation %d, seq %d: updateStatus returned %v, want the other value",
				one.incarnation, one.seq, taken)
		}
	}
}

// Every drop reason has a name of its own for metrics and reports, and the name of an invalid value contains
// its number.
func TestDropReasonsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for reason := range dropReasonCount {
		name := reason.String()
		if name == "" || seen[name] {
			t.Errorf("drop reason %d has the name %q, want a unique name that is not empty", reason, name)
		}
		seen[name] = true
	}
	if got := dropReasonCount.String(); got != "dropReason(9)" {
		t.Errorf("name of an invalid drop reason: got %q, want dropReason(9)", got)
	}
}
