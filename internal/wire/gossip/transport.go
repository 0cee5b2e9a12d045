package gossip

import (
	"log"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// traffic counts the packets that have been sent and received, and their bytes.
type traffic struct {
	packetsOut, bytesOut, packetsIn, bytesIn atomic.Uint64
}

// countingTransport wraps a memberlist transport and counts its packets.
type countingTransport struct {
	memberlist.NodeAwareTransport
	traffic *traffic
	packets chan *memberlist.Packet
	stop    chan struct{} // closed when Shutdown begins: packets are no longer forwarded
	ended   chan struct{} // closed when the wrapped transport has shut down: it delivers no more packets
}

// packetBufferSize bounds the received packets that memberlist has not read yet.
const packetBufferSize = 64

// countTraffic wraps a transport, and counts its packets in the given totals until Shutdown.
func countTraffic(t memberlist.NodeAwareTransport, into *traffic) *countingTransport {
	c := &countingTransport{
		NodeAwareTransport: t,
		traffic:            into,
		packets:            make(chan *memberlist.Packet, packetBufferSize),
		stop:               make(chan struct{}),
		ended:              make(chan struct{}),
	}
	go c.forwardPackets()
	return c
}

// forwardPackets counts received packets and forwards them to memberlist. Once Shutdown has begun it discards
// packets: the wrapped transport blocks until its packets are read, and without a reader would never shut
// down.
func (c *countingTransport) forwardPackets() {
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

// WriteTo implements memberlist.Transport.
func (c *countingTransport) WriteTo(b []byte, to string) (time.Time, error) {
	return c.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (c *countingTransport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	c.traffic.packetsOut.Add(1)
	c.traffic.bytesOut.Add(uint64(len(b)))
	return c.NodeAwareTransport.WriteToAddress(b, to)
}

// PacketCh implements memberlist.Transport.
func (c *countingTransport) PacketCh() <-chan *memberlist.Packet { return c.packets }

// Shutdown implements memberlist.Transport. memberlist calls it once.
func (c *countingTransport) Shutdown() error {
	close(c.stop)
	defer close(c.ended)
	return c.NodeAwareTransport.Shutdown()
}

// socketTransport creates a transport that uses UDP for packets and TCP for streams.
func socketTransport(host string, port int, logger *log.Logger) (memberlist.NodeAwareTransport, error) {
	return memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host},
		BindPort:  port,
		Logger:    logger,
	})
}
