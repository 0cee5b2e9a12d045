package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"capersail/internal/fleet/duration"
)

// explorationState is one state of a simulated fleet in the exhaustive exploration of all sequences of steps.
// The exploration chooses each step: which packet arrives next, that time passes, or that the first relay is
// killed and restarts.
type explorationState struct {
	now     time.Duration
	relays  []*simulatedRelay
	packets []packet
}

func (x *explorationState) clone() *explorationState {
	c := &explorationState{now: x.now, packets: slices.Clone(x.packets)}
	for _, n := range x.relays {
		m := *n
		m.node = n.node.clone()
		c.relays = append(c.relays, &m)
	}
	return c
}

func (n *Node) clone() *Node {
	c := *n
	c.rng, c.actions = rand.New(rand.NewPCG(n.cfg.Seed, 3)), nil
	c.peers = peerTable{self: n.peers.self, byName: map[string]*Peer{}}
	c.lease.renewalSentAt = maps.Clone(n.lease.renewalSentAt)
	c.deferredRenewals = maps.Clone(n.deferredRenewals)
	for name, p := range n.peers.byName {
		*c.peers.entry(name, n.now) = *p
	}
	if n.voting.proposal != nil {
		p := *n.voting.proposal
		p.promises, p.acceptances = maps.Clone(p.promises), maps.Clone(p.acceptances)
		c.voting.proposal = &p
	}
	return &c
}

func (x *explorationState) handle(i int, ev Event) {
	n := x.relays[i]
	for _, a := range n.node.Handle(x.now, ev, nil) {
		switch a := a.(type) {
		case SaveRecord:
			n.savedRecord = a.Record
		case SendMessage:
			for j, m := range x.relays {
				if m.cfg.Name == a.To {
					x.packets = append(x.packets, packet{0, i, j,
						MessageReceived{From: n.cfg.Name, Message: a.Message}})
				}
			}
		case PublishStatus:
			for j := range x.relays {
				if j != i {
					x.packets = append(x.packets, packet{0, i, j,
						StatusReceived{Name: n.cfg.Name, Status: a.Status}})
				}
			}
		}
	}
}

func (x *explorationState) sum() (sum float64) {
	for _, n := range x.relays {
		sum += n.node.Estimate(x.now).BudgetShare
	}
	return sum
}

// explore plays every sequence of a number of steps. It returns how many sequences there were and the
// greatest sum of shares seen.
func (x *explorationState) explore(depth int) (played int, maxSum float64) {
	maxSum = x.sum()
	if depth == 0 {
		return 1, maxSum
	}
	visit := func(step func(*explorationState)) {
		if maxSum > 1+1e-9 { // a violation is found: stop
			return
		}
		c := x.clone()
		step(c)
		n, sum := c.explore(depth - 1)
		played, maxSum = played+n, max(maxSum, sum)
	}
	seen := map[string]bool{}
	for i, p := range x.packets {
		if id := fmt.Sprintf("%+v", p); !seen[id] { // equal packets lead to the same step
			seen[id] = true
			visit(func(c *explorationState) {
				c.packets = slices.Delete(c.packets, i, i+1)
				c.handle(p.to, p.event)
			})
		}
	}
	for _, wait := range []time.Duration{450 * time.Millisecond,
		EarlierViewsExpireAfter + 10*time.Millisecond} {
		visit(func(c *explorationState) {
			c.now += wait
			for i := range c.relays {
				c.handle(i, Tick{})
			}
		})
	}
	visit(func(c *explorationState) { // the first relay is killed and restarts
		n := c.relays[0]
		n.node = New(c.now, n.cfg, n.savedRecord)
		n.node.safeguards.jointViews = c.relays[1].node.safeguards.jointViews
		n.node.Start(c.now, nil)
		n.savedRecord = n.node.record
		for i := range c.relays[1:] {
			c.handle(0, PeerHealth{c.relays[i+1].cfg.Name, HealthAlive})
		}
	})
	return played, maxSum
}

// newExplorationState returns the state of three relays that have agreed on a view, or that have just
// started. joint switches the safeguard jointViews on.
func newExplorationState(agreed, joint bool) *explorationState {
	sim := newSimulatedFleet(3, 3, 5)
	for i, n := range sim.relays {
		n.clockRate, n.clockOffset = 1, 0
		sim.start(i)
	}
	if agreed {
		sim.run(8000)
	} else {
		sim.run(50)
	}
	x := &explorationState{now: duration.FromMillis(sim.now), relays: sim.relays}
	for _, n := range x.relays {
		n.node.safeguards.jointViews = joint
	}
	return x
}

// The shares of three relays must not exceed 1 in any sequence of steps up to a depth: packets that arrive in
// any order or never, time that passes, a kill and a restart.
func TestEveryInterleaving(t *testing.T) {
	depth := 5
	if longSchedules() {
		depth = 6
	}
	// The third relay counts as failed, but its lease is still valid.
	cutOff := func(joint bool) *explorationState {
		x := newExplorationState(true, joint)
		x.handle(0, PeerHealth{relayName(2), HealthFailed})
		x.handle(1, PeerHealth{relayName(2), HealthFailed})
		return x
	}
	for what, x := range map[string]*explorationState{"bootstrapping": newExplorationState(false, true),
		"cut off": cutOff(true),
		"agreed":  newExplorationState(true, true)} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			played, maxSum := x.explore(depth)
			t.Logf("%d sequences of %d steps, the shares add up to %.6f at most", played, depth, maxSum)
			if maxSum > 1 {
				t.Errorf("the shares add up to %v, want 1 at most", maxSum)
			}
		})
	}
	t.Run("without the joint view", func(t *testing.T) {
		t.Parallel()
		if _, maxSum := cutOff(false).explore(5); maxSum <= 1+1e-9 {
			t.Error("without the joint view no sequence exceeded a sum of 1, want at least one to detect it")
		}
	})
}
