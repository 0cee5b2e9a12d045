package gossip

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

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
