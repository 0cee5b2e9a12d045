package gossip

import (
	"context"
	"errors"
	"log"
	"math/rand/v2"
	"net"
	"strconv"
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

// createMemberlist starts memberlist on its transport. The times suit relays of one site: a relay that has died is failed after
// about 2 s, one that loses a fifth of its packets is not.
func (n *Node) createMemberlist() (*memberlist.Memberlist, error) {
	host, text, err := net.SplitHostPort(n.cfg.Bind)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Logger = n.dropped.logger()
	transport, err := n.cfg.Transport(host, port, c.Logger)
	if err != nil {
		return nil, err
	}
	c.Name, c.Label, c.Keyring = n.cfg.Name, n.cfg.Site, n.keyring
	c.Transport = n.injectFaults(countTraffic(transport, n.traffic))
	c.BindAddr, c.BindPort = host, port
	c.AdvertiseAddr, c.AdvertisePort = host, port
	if n.cfg.Advertise != "" {
		told, port, _ := net.SplitHostPort(n.cfg.Advertise)
		c.AdvertiseAddr = told
		c.AdvertisePort, _ = strconv.Atoi(port)
	}
	c.TCPTimeout = time.Second
	c.ProbeInterval, c.ProbeTimeout, c.IndirectChecks = 500*time.Millisecond, 200*time.Millisecond, 3
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 2
	c.AwarenessMaxMultiplier = 3
	// Each relay passes word on RetransmitMult*log10(n+1) times, rounded up, to one drawn at random: of 300 relays 300*e^-9
	// = 0.04 miss a word passed on 9 times by all, as a refutation is, and take the suspect for dead; 300*e^-12 = 0.002 at 4.
	c.RetransmitMult, c.GossipInterval, c.GossipNodes = 4, 100*time.Millisecond, 3
	c.PushPullInterval, c.GossipToTheDeadTime = 15*time.Second, 15*time.Second
	if n.cell != "" {
		c.GossipInterval, c.PushPullInterval = cellGossipInterval, cellPushPullInterval
	}
	c.DeadNodeReclaimTime = time.Second
	c.EnableCompression = false
	c.Delegate, c.Events, c.Alive, c.Conflict, c.Merge = (*delegate)(n), (*delegate)(n), (*delegate)(n), (*delegate)(n), (*delegate)(n)
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, errors.Join(err, c.Transport.Shutdown())
	}
	return list, nil
}

// socketTransport carries packets by UDP and streams by TCP.
func socketTransport(host string, port int, log *log.Logger) (memberlist.NodeAwareTransport, error) {
	return memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: log})
}
