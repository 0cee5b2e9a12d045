package gossip

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"capersail/internal/fleet/membership"
	"capersail/internal/simulation/network"
)

// startIn starts relay number i in a cell of twoCells and returns it with what has it leave and waits for its
// end.
func startInCell(
	t *testing.T, simnet *network.Network, dir, cell string, i int, seeds ...string,
) (*Node, func()) {
	t.Helper()
	node, kill := startKillableInCell(t, simnet, dir, cell, i, seeds...)
	stop := sync.OnceFunc(func() {
		node.Leave()
		kill()
	})
	t.Cleanup(stop)
	return node, stop
}

// startToKill starts a relay as startIn does, and returns it with what ends it without a word.
func startKillableInCell(
	t *testing.T, simnet *network.Network, dir, cell string, i int, seeds ...string,
) (*Node, func()) {
	t.Helper()
	c := testConfig(fmt.Sprintf("r%d", i), filepath.Join(dir, fmt.Sprintf("%s-%d", cell, i)))
	c.Bind, c.Transport, c.Seeds = relayAddr(i), simnet.Transport, seeds
	c.BootstrapSlot, c.ConfiguredRelays, c.Seed = -1, 6, uint64(i)
	c.Cell, c.Plan, c.Timing = cell, twoCells(), membership.CellTiming
	node, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go node.Run(ctx)
	kill := sync.OnceFunc(func() {
		cancel()
		node.Wait()
	})
	t.Cleanup(kill)
	return node, kill
}

// counts tells whether a relay counts another one as there.
func (n *Node) sees(name string) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	return n.peers.alive[name]
}

// A relay moves to another cell and soon comes back, through a relay that has not known it before. The relays
// that have met it in the other cell meanwhile count it as there again as soon as they hear its status, not
// only once they try its address again.
func TestRelayIsBackFromAnotherCell(t *testing.T) {
	simnet, dir := network.New(network.Config{}), t.TempDir()
	r0, _ := startInCell(t, simnet, dir, "east-1", 0)
	r3, _ := startInCell(t, simnet, dir, "east-1", 3, relayAddr(0))
	_, stopEast := startInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	waitFor(
		t, 10*time.Second, "all are there",
		func() bool { return r0.sees("r2") && r0.sees("r3") && r3.sees("r2") },
	)
	stopEast()
	_, stopWest := startInCell(t, simnet, dir, "west-1", 2)
	waitFor(
		t, 20*time.Second, "the one that moved is missed",
		func() bool { return !r0.sees("r2") && !r3.sees("r2") },
	)
	time.Sleep(5 * rejoinInterval) // its address has been tried, and a relay of the other cell has answered
	stopWest()
	r1, _ := startInCell(t, simnet, dir, "east-1", 1, relayAddr(0))
	waitFor(
		t, 10*time.Second, "a new relay is there",
		func() bool { return r1.sees("r0") && r1.sees("r3") && r0.sees("r1") && r3.sees("r1") },
	)
	startInCell(t, simnet, dir, "east-1", 2, relayAddr(1))
	waitFor(
		t, 10*time.Second, "the new relay counts the one that is back",
		func() bool { return r1.sees("r2") },
	)
	waitFor(t, 10*time.Second, "so do the others", func() bool { return r0.sees("r2") && r3.sees("r2") })
}

// A relay is killed, and at once started in another cell under its name and at its address: those of its old
// cell miss it, and count it again once it is back. Guards against a relay that counts as there for good
// because its successor in another cell answers for it.
func TestRelayKilledAndStartedInAnotherCellIsMissed(t *testing.T) {
	simnet, dir := network.New(network.Config{}), t.TempDir()
	r0, _ := startInCell(t, simnet, dir, "east-1", 0)
	r3, _ := startInCell(t, simnet, dir, "east-1", 3, relayAddr(0))
	_, kill := startKillableInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	counted := func() bool { return r0.sees("r2") && r3.sees("r2") }
	waitFor(t, 10*time.Second, "all are there", func() bool { return counted() && r3.sees("r0") })
	kill()
	_, kill = startKillableInCell(t, simnet, dir, "west-1", 2)
	missed := func() bool { return !r0.sees("r2") && !r3.sees("r2") }
	waitFor(t, 10*time.Second, "the one that moved is missed", missed)
	kill()
	startInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	waitFor(t, 10*time.Second, "it counts again", counted)
}

// A relay that leaves by its own word counts as left, is not joined any more, and counts as there again once
// it is back. Guards against one that counts as failed, which the others try to join for good.
func TestRelayThatLeavesIsNotJoined(t *testing.T) {
	simnet, dir := network.New(network.Config{}), t.TempDir()
	r0, _ := startInCell(t, simnet, dir, "east-1", 0)
	r3, _ := startInCell(t, simnet, dir, "east-1", 3, relayAddr(0))
	_, stop := startInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	others := []*Node{r0, r3}
	counted := func() bool { return r0.sees("r2") && r3.sees("r2") }
	waitFor(t, 10*time.Second, "all are there", func() bool { return counted() && r3.sees("r0") })
	stop()
	for _, n := range others {
		waitFor(t, 5*time.Second, "it counts as left", func() bool { return n.healthOf("r2") == membership.Left })
		if missing := n.peers.missingAddresses(n.peers.addressesNotToJoin()); len(missing) > 0 {
			t.Errorf("%s would join %v", n.cfg.Name, missing)
		}
	}
	startInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	waitFor(t, 10*time.Second, "it is back", counted)
}

// healthOf is what the membership.Node takes a peer for.
func (n *Node) healthOf(name string) membership.Health {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, peer := range n.membership.Peers() {
		if peer.Name == name {
			return peer.Health
		}
	}
	return membership.Unknown
}
