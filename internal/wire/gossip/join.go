package gossip

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// bindRetryInterval is the time between two attempts at a port that is taken.
	bindRetryInterval = 5 * time.Second
	// rejoinInterval is the mean time between two rounds in which a missing relay is joined.
	rejoinInterval = 700 * time.Millisecond
	// seedJoinPeriod is how many such rounds there are to one in which the seeds are joined too.
	seedJoinPeriod = 5
	leaveTimeout   = 400 * time.Millisecond
)

// Leave says that this relay goes, and waits a moment for that to spread. The relay takes no budget share
// from here on.
func (n *Node) Leave() {
	n.publishLeaving()
	if list := n.mesh.list.Load(); list != nil {
		if err := list.Leave(leaveTimeout); err != nil {
			n.log.Info().Err(err).Msg("peers may not be notified of the graceful shutdown")
		}
	}
}

// publishLeaving has Run publish that this relay leaves, and waits for that. Where Run has not begun to take
// part, or has ended, there is nobody to tell.
func (n *Node) publishLeaving() {
	published := make(chan struct{})
	select {
	case n.leaveRequests <- published:
		<-published
	case <-n.stopped:
	case <-time.After(leaveTimeout):
	}
}

// relayCount is how many relays there are, for how often a status is passed on.
func (n *Node) relayCount() int {
	if list := n.mesh.list.Load(); list != nil {
		return max(list.NumMembers(), 1)
	}
	return 1
}

// runMemberlist brings memberlist up, and keeps it joined to the others, until the context ends.
func (n *Node) runMemberlist(ctx context.Context) {
	list := n.listen(ctx)
	if list == nil {
		return
	}
	n.mesh.list.Store(list)
	n.log.Info().Str("bind", n.cfg.Bind).Bool("sealed", n.mesh.keyring != nil).Msg("gossip listening")
	defer func() {
		if err := list.Shutdown(); err != nil {
			n.log.Info().Err(err).Msg("gossip ended with an error")
		}
	}()
	n.keepJoined(ctx, list)
}

// listen brings memberlist up, again and again while its port is taken; nil if the context ends before that.
func (n *Node) listen(ctx context.Context) *memberlist.Memberlist {
	for logged := false; ; logged = true {
		list, err := n.createMemberlist()
		if err == nil {
			return list
		}
		if !logged {
			n.log.Error().Err(err).Str("bind", n.cfg.Bind).
				Msg("gossip cannot listen, serving alone and retrying: free the port or change bind")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindRetryInterval):
		}
	}
}

// keepJoined joins relays that are missing, until the context ends.
func (n *Node) keepJoined(ctx context.Context, list *memberlist.Memberlist) {
	logged := false
	for round := 0; ; round++ {
		if target := n.nextJoinTarget(list, round); target != "" {
			err := n.join(list, target)
			if err != nil && !logged && list.NumMembers() == 1 {
				logged = true
				n.log.Warn().Str("error", strings.Join(strings.Fields(err.Error()), " ")).Str("seed", target).
					Msg("seed out of reach, serving alone and retrying: check seeds, keys and the network")
			}
		}
		pause := rejoinInterval/2 + time.Duration(rand.Int64N(int64(rejoinInterval)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// join joins the relay at an address, and notes if that is one of another cell.
func (n *Node) join(list *memberlist.Memberlist, address string) error {
	_, err := list.Join([]string{address})
	if err != nil && strings.Contains(err.Error(), errOtherCell.Error()) { // memberlist wraps no errors
		n.peers.noteOtherCell(address)
	}
	return err
}

// nextJoinTarget is an address to join: that of a relay that was there and is not, or a seed that nobody
// answers at. After a partition both sides have given each other up, and only a new join heals that. Where a
// relay of another cell has answered, a while passes before it is tried again: a join costs both sides all
// they know.
func (n *Node) nextJoinTarget(list *memberlist.Memberlist, round int) string {
	settled := n.peers.settledAddresses()
	settled[n.cfg.Bind], settled[n.cfg.Advertise] = true, true
	var missing []string
	if list.NumMembers() == 1 || round%seedJoinPeriod == 0 {
		for _, seed := range n.cfg.Seeds {
			if !settled[seed] {
				missing = append(missing, seed)
			}
		}
	}
	if len(missing) == 0 {
		missing = n.peers.missingAddresses(settled)
	}
	if len(missing) == 0 {
		return ""
	}
	return missing[rand.IntN(len(missing))]
}
