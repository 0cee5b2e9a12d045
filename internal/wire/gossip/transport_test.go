package gossip

import (
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// busyTransport is a transport that, like memberlist's own, still delivers packets while it shuts down and
// blocks until they are read.
type busyTransport struct {
	memberlist.NodeAwareTransport
	packets chan *memberlist.Packet
}

func (b *busyTransport) PacketCh() <-chan *memberlist.Packet { return b.packets }

func (b *busyTransport) Shutdown() error {
	for range 2 * packetBufferSize {
		b.packets <- &memberlist.Packet{}
	}
	return nil
}

// Shutdown reads packets until the wrapped transport has ended. Guards against a relay that hangs for ever
// after SIGTERM because its transport waits to deliver a packet that nothing reads.
func TestShutdownTakesPacketsUntilTheTransportHasEnded(t *testing.T) {
	counted := countTraffic(&busyTransport{packets: make(chan *memberlist.Packet)}, &traffic{})
	ended := make(chan error, 1)
	go func() { ended <- counted.Shutdown() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Shutdown did not return within 5 s")
	}
}
