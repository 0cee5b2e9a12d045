package gossip

import (
	"log"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// traffic is what has gone out and come in.
type traffic struct {
	packetsOut, bytesOut, packetsIn, bytesIn atomic.Uint64
}

// countingTransport is memberlist's transport with its traffic counted.
type countingTransport struct {
	memberlist.NodeAwareTransport
	traffic *traffic
	packets chan *memberlist.Packet
	stop    chan struct{} // closed as Shutdown begins: nothing is handed on any more
	ended   chan struct{} // closed once the transport has shut down: nothing comes any more
}

// countedPackets bounds the packets that wait for memberlist.
const countedPackets = 64

// countTraffic counts a transport's traffic into the totals, until Shutdown.
func countTraffic(t memberlist.NodeAwareTransport, into *traffic) *countingTransport {
	c := &countingTransport{
		NodeAwareTransport: t,
		traffic:            into,
		packets:            make(chan *memberlist.Packet, countedPackets),
		stop:               make(chan struct{}),
		ended:              make(chan struct{}),
	}
	go c.passPackets()
	return c
}

// passPackets hands what comes on to memberlist, and counts it. From Shutdown on it discards what comes: the
// transport waits for its packets to be taken, and would never end without a reader.
func (c *countingTransport) passPackets() {
	for {
		select {
		case <-c.ended:
			return
		case packet := <-c.NodeAwareTransport.PacketCh():
			c.traffic.packetsIn.Add(1)
			c.traffic.bytesIn.Add(uint64(len(packet.Buf)))
			select {
			case c.packets <- packet:
			case <-c.stop:
			}
		}
	}
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
func (c *countingTransport) PacketCh() <-chan *memberlist.Packet { return c.packets }

// Shutdown is memberlist's; it calls it once.
func (c *countingTransport) Shutdown() error {
	close(c.stop)
	defer close(c.ended)
	return c.NodeAwareTransport.Shutdown()
}

// socketTransport carries packets by UDP and streams by TCP.
func socketTransport(host string, port int, logger *log.Logger) (memberlist.NodeAwareTransport, error) {
	return memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host},
		BindPort:  port,
		Logger:    logger,
	})
}
