package gossip

import (
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// busyTransport is a transport that, like memberlist's own, has a packet to hand over as it shuts down, and
// does not end before somebody has taken it.
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

// TestShutdownTakesPacketsUntilTheTransportHasEnded guards against a relay that hangs for ever after SIGTERM:
// its transport waited to hand over a packet, and nobody took it any more.
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
		t.Fatal("the shutdown has not ended after 5 s")
	}
}
