package gossip

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// cellGossipInterval is the time between memberlist's rounds of gossip within a cell.
	cellGossipInterval = 200 * time.Millisecond
	// cellPushPullInterval is the time between two exchanges of complete states within a cell. Each fills a
	// second with more than 8 KB at both sides, and a relay begins and answers one in this time on average:
	// in fewer than one second of a hundred.
	cellPushPullInterval = 5 * time.Minute
	// statusRetransmitMult is how often a status is passed on, times log10 of the relays.
	statusRetransmitMult = 3
)

// createMemberlist starts memberlist on its transport.
func (n *Node) createMemberlist() (*memberlist.Memberlist, error) {
	host, port, err := splitAddress(n.cfg.Bind)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Logger = n.dropped.logger()
	transport, err := n.cfg.Transport(host, port, c.Logger)
	if err != nil {
		return nil, err
	}
	c.Name, c.Label, c.Keyring = n.cfg.Name, n.cfg.Site, n.mesh.keyring
	c.Transport = n.injectFaults(countTraffic(transport, n.mesh.traffic))
	c.BindAddr, c.BindPort = host, port
	c.AdvertiseAddr, c.AdvertisePort = host, port
	if n.cfg.Advertise != "" {
		c.AdvertiseAddr, c.AdvertisePort, _ = splitAddress(n.cfg.Advertise)
	}
	n.setTimings(c)
	d := (*delegate)(n)
	c.Delegate, c.Events, c.Alive, c.Conflict, c.Merge, c.Ping = d, d, d, d, d, d
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, errors.Join(err, c.Transport.Shutdown())
	}
	return list, nil
}

// splitAddress splits host:port.
func splitAddress(address string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(text)
	return host, port, err
}

// setTimings sets memberlist's intervals and timeouts. They suit relays of one site: a relay that has died
// is failed after about 2 s, one that loses a fifth of its packets is not.
func (n *Node) setTimings(c *memberlist.Config) {
	c.TCPTimeout = time.Second
	c.ProbeInterval = 500 * time.Millisecond
	c.ProbeTimeout = 200 * time.Millisecond
	c.IndirectChecks = 3
	c.SuspicionMult = 3
	c.SuspicionMaxTimeoutMult = 2
	c.AwarenessMaxMultiplier = 3
	// Each relay passes a message on RetransmitMult*log10(n+1) times, rounded up, to one drawn at random: of
	// 300 relays 300*e^-9 = 0.04 miss one that is passed on 9 times by all, as a refutation is, and take the
	// suspect for dead; 300*e^-12 = 0.002 at 4.
	c.RetransmitMult = 4
	c.GossipInterval = 100 * time.Millisecond
	c.GossipNodes = 3
	c.PushPullInterval = 15 * time.Second
	c.GossipToTheDeadTime = 15 * time.Second
	if n.cell != "" {
		c.GossipInterval, c.PushPullInterval = cellGossipInterval, cellPushPullInterval
	}
	c.DeadNodeReclaimTime = time.Second
	c.EnableCompression = false
}
