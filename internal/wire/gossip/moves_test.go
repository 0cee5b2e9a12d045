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

// startInCell starts relay number i in a cell of twoCells. The returned function makes the relay leave and
// waits until it has ended.
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

// startKillableInCell starts a relay as startInCell does. The returned function ends the relay without
// notifying the others.
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

// sees reports whether this relay has the named relay as alive.
func (n *Node) sees(name string) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	return n.peers.alive[name]
}

// A relay moves to another cell and soon returns, joining through a relay that has not known it before. The
// other relays, which have found it in the other cell meanwhile, have it as alive again as soon as they
// receive its status. Guards against relays that wait until the next join of its address, up to
// otherCellRetryInterval.
func TestRelayIsBackFromAnotherCell(t *testing.T) {
	simnet, dir := network.New(network.Config{}), t.TempDir()
	r0, _ := startInCell(t, simnet, dir, "east-1", 0)
	r3, _ := startInCell(t, simnet, dir, "east-1", 3, relayAddr(0))
	_, stopEast := startInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	waitFor(
		t, 10*time.Second, "all relays are alive",
		func() bool { return r0.sees("r2") && r0.sees("r3") && r3.sees("r2") },
	)
	stopEast()
	_, stopWest := startInCell(t, simnet, dir, "west-1", 2)
	waitFor(
		t, 20*time.Second, "relay r2, which moved, is no longer alive for r0 and r3",
		func() bool { return !r0.sees("r2") && !r3.sees("r2") },
	)
	time.Sleep(5 * rejoinInterval) // until r2's address was joined and a relay of the other cell answered
	stopWest()
	r1, _ := startInCell(t, simnet, dir, "east-1", 1, relayAddr(0))
	waitFor(
		t, 10*time.Second, "the new relay r1 is alive",
		func() bool { return r1.sees("r0") && r1.sees("r3") && r0.sees("r1") && r3.sees("r1") },
	)
	startInCell(t, simnet, dir, "east-1", 2, relayAddr(1))
	waitFor(
		t, 10*time.Second, "relay r2, which returned, is alive for r1",
		func() bool { return r1.sees("r2") },
	)
	waitFor(t, 10*time.Second, "r0 and r3 see r2", func() bool { return r0.sees("r2") && r3.sees("r2") })
}

// A relay is killed and at once started in another cell under the same name and address. The relays of its
// old cell declare it failed, and have it as alive again once it has returned. Guards against a relay that
// stays alive for its old cell because the new process in the other cell answers its probes.
func TestRelayKilledAndStartedInAnotherCellIsMissed(t *testing.T) {
	simnet, dir := network.New(network.Config{}), t.TempDir()
	r0, _ := startInCell(t, simnet, dir, "east-1", 0)
	r3, _ := startInCell(t, simnet, dir, "east-1", 3, relayAddr(0))
	_, kill := startKillableInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	alive := func() bool { return r0.sees("r2") && r3.sees("r2") }
	waitFor(t, 10*time.Second, "all relays are alive", func() bool { return alive() && r3.sees("r0") })
	kill()
	_, kill = startKillableInCell(t, simnet, dir, "west-1", 2)
	missed := func() bool { return !r0.sees("r2") && !r3.sees("r2") }
	waitFor(t, 10*time.Second, "relay r2, which moved, is no longer alive", missed)
	kill()
	startInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	waitFor(t, 10*time.Second, "r2 is alive again", alive)
}

// A relay that announces that it leaves is left, not failed. It is not joined any more, and is alive again
// once it returns. Guards against a relay that has left but is taken for failed: the others would try to join
// it for ever.
func TestRelayThatLeavesIsNotJoined(t *testing.T) {
	simnet, dir := network.New(network.Config{}), t.TempDir()
	r0, _ := startInCell(t, simnet, dir, "east-1", 0)
	r3, _ := startInCell(t, simnet, dir, "east-1", 3, relayAddr(0))
	_, stop := startInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	others := []*Node{r0, r3}
	alive := func() bool { return r0.sees("r2") && r3.sees("r2") }
	waitFor(t, 10*time.Second, "all relays are alive", func() bool { return alive() && r3.sees("r0") })
	stop()
	for _, n := range others {
		waitFor(t, 5*time.Second, "r2 has left",
			func() bool { return n.healthOf("r2") == membership.HealthLeft })
		if missing := n.peers.missingAddresses(n.peers.addressesNotToJoin()); len(missing) > 0 {
			t.Errorf("%s would join %v, want no address: r2 has left", n.cfg.Name, missing)
		}
	}
	startInCell(t, simnet, dir, "east-1", 2, relayAddr(0))
	waitFor(t, 10*time.Second, "r2 is alive again", alive)
}

// healthOf returns the health of a peer by the membership.Node, Unknown if it does not know the peer.
func (n *Node) healthOf(name string) membership.Health {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, peer := range n.membership.Peers() {
		if peer.Name == name {
			return peer.Health
		}
	}
	return membership.HealthUnknown
}
