package scale

import (
	"io"
	"log"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"capersail/internal/simulation/network"
)

// PacketCost measures the processor time that the simulated network takes for a packet, its copy, its
// counting and its delivery included, on endpoints whose packets are read and dropped; 0 if it cannot be
// measured. It is called in the kind of time, virtual or real, that the fleet is measured in.
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

// dropPackets reads what comes until done is closed.
func dropPackets(t memberlist.NodeAwareTransport, done <-chan struct{}) {
	for {
		select {
		case <-t.PacketCh():
		case <-done:
			return
		}
	}
}
