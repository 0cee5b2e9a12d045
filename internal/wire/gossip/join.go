package gossip

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// bindRetryInterval is the time between two attempts to listen on a port that is in use.
	bindRetryInterval = 5 * time.Second
	// rejoinInterval is the mean time between two rounds. In each round one missing relay is joined.
	rejoinInterval = 700 * time.Millisecond
	// roundsPerSeedJoin is how many rounds there are to one in which seeds are joined too, even if this relay
	// has peers.
	roundsPerSeedJoin = 5
	// leaveTimeout bounds each wait for the news that this relay leaves: for Run to publish it, and for it to
	// reach a peer.
	leaveTimeout = 400 * time.Millisecond
)

// Leave publishes that this relay leaves, and waits for a short time until that has spread. The relay takes
// no budget share from then on.
func (n *Node) Leave() {
	n.publishLeaving()
	if list := n.gossip.list.Load(); list != nil {
		if err := list.Leave(leaveTimeout); err != nil {
			n.log.Info().Err(err).Msg("peers may not have been notified of the graceful shutdown")
		}
	}
}

// publishLeaving has Run publish that this relay leaves, and waits until that is done. It gives up after
// leaveTimeout if Run has not joined the other relays yet, and returns at once if Run has ended.
func (n *Node) publishLeaving() {
	published := make(chan struct{})
	select {
	case n.leaveRequests <- published:
		<-published
	case <-n.stopped:
	case <-time.After(leaveTimeout):
	}
}

// relayCount returns the number of relays that memberlist knows, including this one. The broadcastQueue
// derives the number of transmissions from it.
func (n *Node) relayCount() int {
	if list := n.gossip.list.Load(); list != nil {
		return max(list.NumMembers(), 1)
	}
	return 1
}

// runMemberlist starts memberlist and keeps it joined to the other relays until the context ends.
func (n *Node) runMemberlist(ctx context.Context) {
	list := n.listen(ctx)
	if list == nil {
		return
	}
	n.gossip.list.Store(list)
	n.log.Info().Str("bind", n.cfg.Bind).Bool("sealed", n.gossip.keyring != nil).Msg("gossip listening")
	defer func() {
		if err := list.Shutdown(); err != nil {
			n.log.Info().Err(err).Msg("error while shutting down gossip")
		}
	}()
	n.keepJoined(ctx, list)
}

// listen starts memberlist and retries while that fails, as when the port is in use. It returns nil if the
// context ends first.
func (n *Node) listen(ctx context.Context) *memberlist.Memberlist {
	for logged := false; ; logged = true {
		list, err := n.createMemberlist()
		if err == nil {
			return list
		}
		if !logged {
			n.log.Error().Err(err).Str("bind", n.cfg.Bind).
				Msg("gossip cannot listen; serving without peers and retrying: free the port or change bind")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(bindRetryInterval):
		}
	}
}

// keepJoined joins missing relays, one in each round, until the context ends.
func (n *Node) keepJoined(ctx context.Context, list *memberlist.Memberlist) {
	logged := false
	for round := 0; ; round++ {
		if target := n.nextJoinTarget(list, round); target != "" {
			err := n.join(list, target)
			if err != nil && !logged && list.NumMembers() == 1 {
				logged = true
				n.log.Warn().Str("error", strings.Join(strings.Fields(err.Error()), " ")).Str("seed", target).
					Msg("seed out of reach; serving without peers and retrying: check seeds, keys and the network")
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

// join joins the relay at an address, and records the address if that relay belongs to another cell.
func (n *Node) join(list *memberlist.Memberlist, address string) error {
	_, err := list.Join([]string{address})
	if err != nil && strings.Contains(err.Error(), errOtherCell.Error()) { // memberlist does not wrap errors
		n.peers.recordOtherCell(address)
	}
	return err
}

// nextJoinTarget returns an address to join: that of a relay that is no longer alive, or of a seed without a
// live relay; "" if there is none. After a network partition both sides have given each other up as failed,
// and only a new join merges them again. An address where a relay of another cell has answered is not joined
// again for otherCellRetryInterval, as in a join both sides exchange their complete state.
func (n *Node) nextJoinTarget(list *memberlist.Memberlist, round int) string {
	excluded := n.peers.addressesNotToJoin()
	excluded[n.cfg.Bind], excluded[n.cfg.Advertise] = true, true
	var missing []string
	if list.NumMembers() == 1 || round%roundsPerSeedJoin == 0 {
		for _, seed := range n.cfg.Seeds {
			if !excluded[seed] {
				missing = append(missing, seed)
			}
		}
	}
	if len(missing) == 0 {
		missing = n.peers.missingAddresses(excluded)
	}
	if len(missing) == 0 {
		return ""
	}
	return missing[rand.IntN(len(missing))]
}
