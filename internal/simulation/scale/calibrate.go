package scale

import (
	"io"
	"log"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"capersail/internal/simulation/network"
)

// PacketCost measures the CPU time that the simulated network takes for a packet, its copy, counting and
// delivery included, on endpoints that discard the packets they receive. It returns 0 if the time cannot be
// measured. Call it in the kind of time, virtual or real, in which the fleet is measured.
func PacketCost(layout Layout) time.Duration {
	const endpoints, rounds, size = 100, 200, 250
	var traffic trafficCounter
	simulated := network.New(network.Config{
		Place:   func(string) network.Place { return layout.Place(0) },
		Delay:   layout.Delay,
		Inspect: traffic.countPacket,
	})
	simulated.StartRecording()
	done := make(chan struct{})
	var readers sync.WaitGroup
	defer readers.Wait()
	defer close(done)
	var transports []memberlist.NodeAwareTransport
	for i := range endpoints {
		t, err := simulated.Transport(hostOf(i), port, log.New(io.Discard, "", 0))
		if err != nil {
			return 0
		}
		transports = append(transports, t)
		readers.Go(func() { dropPackets(t, done) })
	}
	packet := make([]byte, size)
	began := processorTime()
	for range rounds {
		for i, t := range transports {
			next := memberlist.Address{Addr: Address((i + 1) % endpoints)}
			if _, err := t.WriteToAddress(packet, next); err != nil {
				return 0
			}
		}
		time.Sleep(time.Millisecond)
	}
	return (processorTime() - began) / (endpoints * rounds)
}

// dropPackets receives and discards packets until done is closed.
func dropPackets(t memberlist.NodeAwareTransport, done <-chan struct{}) {
	for {
		select {
		case <-t.PacketCh():
		case <-done:
			return
		}
	}
}
