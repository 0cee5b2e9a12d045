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
	// cellPushPullInterval is the time between two exchanges of complete state within a cell. An exchange
	// costs each side more than 8 KB within one second. In this interval a relay starts one exchange and
	// answers one on average, so fewer than one second in a hundred is affected.
	cellPushPullInterval = 5 * time.Minute
	// statusRetransmitMult is the retransmitMult of the broadcastQueue.
	statusRetransmitMult = 3
)

// createMemberlist starts memberlist on a new transport.
func (n *Node) createMemberlist() (*memberlist.Memberlist, error) {
	host, port, err := splitHostPort(n.cfg.Bind)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Logger = n.dropped.logger()
	transport, err := n.cfg.Transport(host, port, c.Logger)
	if err != nil {
		return nil, err
	}
	c.Name, c.Label, c.Keyring = n.cfg.Name, n.cfg.Site, n.gossip.keyring
	c.Transport = n.injectFaults(countTraffic(transport, n.gossip.traffic))
	c.BindAddr, c.BindPort = host, port
	c.AdvertiseAddr, c.AdvertisePort = host, port
	if n.cfg.Advertise != "" {
		c.AdvertiseAddr, c.AdvertisePort, _ = splitHostPort(n.cfg.Advertise)
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

func splitHostPort(address string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(text)
	return host, port, err
}

// setTimings sets memberlist's intervals and timeouts. They are for relays within one site: a crashed relay
// is declared failed after about 2 s, while one that loses a fifth of its packets is not.
func (n *Node) setTimings(c *memberlist.Config) {
	c.TCPTimeout = time.Second
	c.ProbeInterval = 500 * time.Millisecond
	c.ProbeTimeout = 200 * time.Millisecond
	c.IndirectChecks = 3
	c.SuspicionMult = 3
	c.SuspicionMaxTimeoutMult = 2
	c.AwarenessMaxMultiplier = 3
	// Each of n relays forwards a message RetransmitMult*ceil(log10(n+1)) times, each time to a relay drawn
	// at random. With a multiplier of 3 each of 300 relays forwards it 9 times, and 300*e^-9 = 0.04 relays on
	// average never receive it. If that message is a refutation, such a relay takes the suspected relay for
	// failed. With a multiplier of 4 only 300*e^-12 = 0.002 relays miss it.
	c.RetransmitMult = 4
	c.GossipInterval = 100 * time.Millisecond
	c.GossipNodes = 3
	c.PushPullInterval = 15 * time.Second
	c.GossipToTheDeadTime = 15 * time.Second
	if n.wireCell != "" {
		c.GossipInterval, c.PushPullInterval = cellGossipInterval, cellPushPullInterval
	}
	c.DeadNodeReclaimTime = time.Second
	c.EnableCompression = false
}
