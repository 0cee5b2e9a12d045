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

// A relay that failed is missing until it is alive again; one that left is not, and neither is one at whose
// address another cell's relay has answered, until its status comes: a join costs both sides all they know.
func TestMissingRelaysAreThoseToJoin(t *testing.T) {
	peers := newPeerTable()
	for i, name := range []string{"alive", "failed", "left", "moved"} {
		peers.setHealth(memberlistNode(name, uint16(1+i)), membership.Alive)
	}
	peers.setHealth(memberlistNode("failed", 2), membership.Failed)
	peers.setHealth(memberlistNode("left", 3), membership.Left)
	peers.setHealth(memberlistNode("moved", 4), membership.Failed)
	peers.recordOtherCell("127.0.0.1:4")
	missing := func() []string {
		found := peers.missingAddresses(peers.addressesNotToJoin())
		slices.Sort(found)
		return found
	}
	if got := missing(); !slices.Equal(got, []string{"127.0.0.1:2"}) {
		t.Errorf("missing: %v", got)
	}
	peers.updateStatus(envelope{From: "moved", Incarnation: 1, Seq: 1}, nil)
	if got := missing(); !slices.Equal(got, []string{"127.0.0.1:2", "127.0.0.1:4"}) {
		t.Errorf("missing once a status has come: %v", got)
	}
	peers.setHealth(memberlistNode("failed", 2), membership.Alive)
	peers.setHealth(memberlistNode("moved", 4), membership.Alive)
	if got := missing(); len(got) != 0 {
		t.Errorf("missing when all are back: %v", got)
	}
}

// An older status never takes the place of a newer one, by incarnation first: gossip brings them in any
// order.
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
			t.Errorf("incarnation %d, seq %d: taken %v", one.incarnation, one.seq, taken)
		}
	}
}

// Every reason has the name that metrics and reports show, and a value that is none says so.
func TestDropReasonsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for reason := range dropReasonCount {
		name := reason.String()
		if name == "" || seen[name] {
			t.Errorf("reason %d is called %q", reason, name)
		}
		seen[name] = true
	}
	if got := dropReasonCount.String(); got != "dropReason(9)" {
		t.Errorf("a value that is no reason is called %q", got)
	}
}
