package scale

import (
	"io"
	"log"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"capersail/internal/simulation/network"
)

// PacketCost is the processor time that the simulated network takes for a packet, its copy, its counting and its delivery
// included: measured on endpoints whose packets are read and thrown away. It is to be called in the kind of time that is measured in.
func PacketCost(layout Layout) time.Duration {
	const endpoints, rounds, size = 100, 200, 250
	var kinds trafficCounter
	simulated := network.New(network.Config{Place: func(string) network.Place { return layout.Place(0) }, Delay: layout.Delay, Inspect: kinds.countPacket})
	simulated.Record()
	var readers sync.WaitGroup
	var all []memberlist.NodeAwareTransport
	done := make(chan struct{})
	for i := range endpoints {
		t, err := simulated.Transport(hostOf(i), port, log.New(io.Discard, "", 0))
		if err != nil {
			return 0
		}
		all = append(all, t)
		readers.Go(func() {
			for {
				select {
				case <-t.PacketCh():
				case <-done:
					return
				}
			}
		})
	}
	packet := make([]byte, size)
	began := processorTime()
	for range rounds {
		for i, t := range all {
			if _, err := t.WriteToAddress(packet, memberlist.Address{Addr: Address((i + 1) % endpoints)}); err != nil {
				return 0
			}
		}
		time.Sleep(time.Millisecond)
	}
	cost := (processorTime() - began) / (endpoints * rounds)
	close(done)
	readers.Wait()
	return cost
}
