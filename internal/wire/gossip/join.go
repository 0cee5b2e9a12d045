package gossip

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// This file joins a relay to the others by memberlist, and keeps it joined.

// Leave says that this relay goes, and waits a moment for the word to spread. The relay takes no share from here on.
func (n *Node) Leave() {
	if l := n.list.Load(); l != nil {
		if err := l.Leave(leaveTimeout); err != nil {
			n.log.Info().Err(err).Msg("not all peers may have heard that this relay leaves")
		}
	}
}

// relayCount is how many relays there are, for how often a status is passed on.
func (n *Node) relayCount() int {
	if l := n.list.Load(); l != nil {
		return max(l.NumMembers(), 1)
	}
	return 1
}

// runMemberlist brings memberlist up, and joins it to the others, until the context ends.
func (n *Node) runMemberlist(ctx context.Context) {
	var list *memberlist.Memberlist
	for said := false; list == nil; {
		var err error
		if list, err = n.createMemberlist(); err == nil {
			break
		}
		if !said {
			n.log.Error().Err(err).Str("bind", n.cfg.Bind).Msg("members: cannot listen; serving alone and trying again")
			said = true
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(bindRetryInterval):
		}
	}
	n.list.Store(list)
	n.log.Info().Str("bind", n.cfg.Bind).Bool("sealed", n.keyring != nil).Msg("members: listening")
	defer func() {
		if err := list.Shutdown(); err != nil {
			n.log.Info().Err(err).Msg("members: end")
		}
	}()
	said := false
	for round := 0; ; round++ {
		if target := n.nextJoinTarget(list, round); target != "" {
			_, err := list.Join([]string{target})
			if err != nil && strings.Contains(err.Error(), errOtherCell.Error()) {
				n.peers.Lock()
				n.peers.elsewhere[target] = time.Now()
				n.peers.Unlock()
			}
			if err != nil && !said && list.NumMembers() == 1 {
				said = true
				n.log.Warn().Str("error", strings.Join(strings.Fields(err.Error()), " ")).Str("seed", target).Msg("members: seed out of reach; serving alone and trying again")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rejoinInterval/2 + time.Duration(rand.Int64N(int64(rejoinInterval)))):
		}
	}
}

// nextJoinTarget is an address to join: that of a relay that was there and is not, or a seed that nobody answers at. After a
// cut both sides have given each other up, and only a new join heals that. Where a relay of another cell has answered, a while passes
// before it is tried again: a join costs both sides all they know.
func (n *Node) nextJoinTarget(list *memberlist.Memberlist, round int) string {
	there := map[string]bool{}
	n.peers.Lock()
	for address, at := range n.peers.elsewhere {
		there[address] = time.Since(at) < otherCellRetryInterval
	}
	there[n.cfg.Bind], there[n.cfg.Advertise] = true, true
	for name := range n.peers.there {
		there[n.peers.nodes[name].Address()] = true
	}
	n.peers.Unlock()
	var lost []string
	if list.NumMembers() == 1 || round%seedJoinPeriod == 0 {
		for _, s := range n.cfg.Seeds {
			if !there[s] {
				lost = append(lost, s)
			}
		}
	}
	if len(lost) == 0 {
		n.peers.Lock()
		for name, m := range n.peers.nodes {
			if !n.peers.there[name] && !there[m.Address()] {
				lost = append(lost, m.Address())
			}
		}
		n.peers.Unlock()
	}
	if len(lost) == 0 {
		return ""
	}
	return lost[rand.IntN(len(lost))]
}
