package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// loopbackNet is what a ground has of loopback for itself: a net, and the ports that its relays have there.
type loopbackNet struct {
	prefix                string // 127.x.y.
	gossip, listen, admin int
	reserved              []net.Listener
}

// reserveNet takes a place that nobody has. The ports are below those that are given out for a moment, and are held at the
// net's last address until the ground is closed: so neither a ground of this process or of another nor whoever has one of
// them for all addresses can be in the way of a relay.
func reserveNet() (*loopbackNet, error) {
	for range 100 {
		base := 10_000 + rand.IntN(20_000)
		p := &loopbackNet{prefix: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(256)), gossip: base, listen: base + 1, admin: base + 2}
		for port := base; port < base+3; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s254:%d", p.prefix, port))
			if err != nil {
				p.release()
				break
			}
			p.reserved = append(p.reserved, l)
		}
		if len(p.reserved) == 3 {
			return p, nil
		}
	}
	return nil, errors.New("no loopback net is free")
}

func (p *loopbackNet) release() {
	for _, l := range p.reserved {
		l.Close()
	}
	p.reserved = nil
}
