package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// loopbackNet is a cluster's own part of loopback: a net, and the ports that its relays listen on there.
type loopbackNet struct {
	prefix                string // 127.x.y.
	gossip, listen, admin int
	reserved              []net.Listener
}

// reserveNet reserves a net that nobody has. The ports are below those that are given out for a moment, and
// are held at the net's last address until release: so no cluster of this process or of another, nor whoever
// has one of them for all addresses, can be in the way of a relay.
func reserveNet() (*loopbackNet, error) {
	for range 100 {
		base := 10_000 + rand.IntN(20_000)
		n := &loopbackNet{
			prefix: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(256)),
			gossip: base,
			listen: base + 1,
			admin:  base + 2,
		}
		if n.reserve() == nil {
			return n, nil
		}
		n.release()
	}
	return nil, errors.New("no loopback net is free")
}

// reserve listens on each port, and fails at the first that is taken.
func (n *loopbackNet) reserve() error {
	for _, port := range []int{n.gossip, n.listen, n.admin} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s254:%d", n.prefix, port))
		if err != nil {
			return err
		}
		n.reserved = append(n.reserved, l)
	}
	return nil
}

// addresses returns those of a host on the net, numbered from 1.
func (n *loopbackNet) addresses(host int) (gossip, listen, admin string) {
	at := func(port int) string { return fmt.Sprintf("%s%d:%d", n.prefix, host, port) }
	return at(n.gossip), at(n.listen), at(n.admin)
}

func (n *loopbackNet) release() {
	for _, l := range n.reserved {
		l.Close()
	}
	n.reserved = nil
}
