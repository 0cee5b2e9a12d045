package gossip

import (
	"log"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// traffic counts what goes out and comes in.
type traffic struct {
	packetsOut, bytesOut, packetsIn, bytesIn atomic.Uint64
}

// countingTransport is memberlist's transport with its traffic countingTransport.
type countingTransport struct {
	memberlist.NodeAwareTransport
	traffic *traffic
	in      chan *memberlist.Packet
	stop    chan struct{}
}

// countTraffic begins to countTraffic a transport's traffic; its Shutdown ends that.
func countTraffic(t memberlist.NodeAwareTransport, into *traffic) *countingTransport {
	c := &countingTransport{NodeAwareTransport: t, traffic: into, in: make(chan *memberlist.Packet, 64), stop: make(chan struct{})}
	go func() {
		for {
			select {
			case <-c.stop:
				return
			case p := <-t.PacketCh():
				into.packetsIn.Add(1)
				into.bytesIn.Add(uint64(len(p.Buf)))
				select {
				case c.in <- p:
				case <-c.stop:
					return
				}
			}
		}
	}()
	return c
}

// WriteTo is memberlist's.
func (c *countingTransport) WriteTo(b []byte, to string) (time.Time, error) {
	return c.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress is memberlist's.
func (c *countingTransport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	c.traffic.packetsOut.Add(1)
	c.traffic.bytesOut.Add(uint64(len(b)))
	return c.NodeAwareTransport.WriteToAddress(b, to)
}

// PacketCh is memberlist's.
func (c *countingTransport) PacketCh() <-chan *memberlist.Packet { return c.in }

// Shutdown is memberlist's.
func (c *countingTransport) Shutdown() error {
	close(c.stop)
	return c.NodeAwareTransport.Shutdown()
}

// socketTransport carries packets by UDP and streams by TCP.
func socketTransport(host string, port int, log *log.Logger) (memberlist.NodeAwareTransport, error) {
	return memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: log})
}
