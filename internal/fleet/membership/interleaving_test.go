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

// interleaving is a world whose every step is chosen: which packet arrives next, or that time passes.
type interleaving struct {
	now     time.Duration
	relays  []*simulatedRelay
	packets []packet
}

func (l *interleaving) clone() *interleaving {
	c := &interleaving{now: l.now, packets: slices.Clone(l.packets)}
	for _, n := range l.relays {
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

func (l *interleaving) handle(i int, ev Event) {
	n := l.relays[i]
	for _, a := range n.node.Handle(l.now, ev, nil) {
		switch a := a.(type) {
		case SaveRecord:
			n.savedRecord = a.Record
		case SendMessage:
			for j, m := range l.relays {
				if m.cfg.Name == a.To {
					l.packets = append(l.packets, packet{0, i, j,
						MessageReceived{From: n.cfg.Name, Message: a.Message}})
				}
			}
		case PublishStatus:
			for j := range l.relays {
				if j != i {
					l.packets = append(l.packets, packet{0, i, j,
						StatusReceived{Name: n.cfg.Name, Status: a.Status}})
				}
			}
		}
	}
}

func (l *interleaving) sum() (sum float64) {
	for _, n := range l.relays {
		sum += n.node.Estimate(l.now).BudgetShare
	}
	return sum
}

// explore plays every sequence of so many steps and returns how many there were and the greatest sum met.
func (l *interleaving) explore(depth int) (played int, most float64) {
	most = l.sum()
	if depth == 0 {
		return 1, most
	}
	visit := func(step func(*interleaving)) {
		if most > 1+1e-9 { // that is enough
			return
		}
		c := l.clone()
		step(c)
		n, sum := c.explore(depth - 1)
		played, most = played+n, max(most, sum)
	}
	met := map[string]bool{}
	for i, p := range l.packets {
		if id := fmt.Sprintf("%+v", p); !met[id] { // two packets alike make one step
			met[id] = true
			visit(func(c *interleaving) {
				c.packets = slices.Delete(c.packets, i, i+1)
				c.handle(p.to, p.event)
			})
		}
	}
	for _, wait := range []time.Duration{450 * time.Millisecond,
		EarlierViewsExpireAfter + 10*time.Millisecond} {
		visit(func(c *interleaving) {
			c.now += wait
			for i := range c.relays {
				c.handle(i, Tick{})
			}
		})
	}
	visit(func(c *interleaving) { // the first is killed and back
		n := c.relays[0]
		n.node = New(c.now, n.cfg, n.savedRecord)
		n.node.safeguards.jointViews = c.relays[1].node.safeguards.jointViews
		n.node.Start(c.now, nil)
		n.savedRecord = n.node.record
		for i := range c.relays[1:] {
			c.handle(0, PeerHealth{c.relays[i+1].cfg.Name, HealthAlive})
		}
	})
	return played, most
}

// newInterleaving returns a world of three that have agreed, or of three that have just met.
func newInterleaving(agreed, joint bool) *interleaving {
	w := newSimulatedFleet(3, 3, 5)
	for i, n := range w.relays {
		n.clockRate, n.clockOffset = 1, 0
		w.start(i)
	}
	if agreed {
		w.run(8000)
	} else {
		w.run(50)
	}
	l := &interleaving{now: duration.FromMillis(w.now), relays: w.relays}
	for _, n := range l.relays {
		n.node.safeguards.jointViews = joint
	}
	return l
}

// Every interleaving of three relays to a depth: packets in any order or never, time, a kill and a restart.
func TestEveryInterleaving(t *testing.T) {
	depth := 5
	if longSchedules() {
		depth = 6
	}
	cutOff := func(joint bool) *interleaving { // the third is taken for gone, and its lease is good still
		l := newInterleaving(true, joint)
		l.handle(0, PeerHealth{relayName(2), HealthFailed})
		l.handle(1, PeerHealth{relayName(2), HealthFailed})
		return l
	}
	for what, l := range map[string]*interleaving{"bootstrapping": newInterleaving(false, true),
		"cut off": cutOff(true),
		"agreed":  newInterleaving(true, true)} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			played, most := l.explore(depth)
			t.Logf("%d sequences of %d steps, the shares add up to %.6f at most", played, depth, most)
			if most > 1 {
				t.Errorf("the shares add up to %v", most)
			}
		})
	}
	t.Run("without the joint view", func(t *testing.T) {
		t.Parallel()
		if _, most := cutOff(false).explore(5); most <= 1+1e-9 {
			t.Error("no sequence was found in which the shares exceed one")
		}
	})
}
