package gossip

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"capersail/internal/fleet/probing"
)

const (
	clockStep     = 25 * time.Millisecond // step of the simulated clock
	warmUp        = 3 * time.Second       // simulated time before the measurement, until traffic is steady
	placementRate = 200.0                 // requests a second of the whole fleet: probing.MaxPlacementRate
	// maxPacketRate is the limit of packets a second that a relay sends. A gossip round starts every 150 ms
	// or up to a tenth sooner, and sends two packets of readings and one of placements to three peers each.
	maxPacketRate = 3 * 3 / 0.135
	maxStaleShare = 0.02 // share of the time without a usable reading of a server, with up to 30 servers
)

// probingCost is the cost of sharing readings and placements for each relay. Bytes are those of envelopes,
// without the overhead of encryption.
type probingCost struct {
	readingBytes, placementBytes float64 // sent a second
	packets                      float64 // sent a second
	cpu                          float64 // seconds of CPU time a second, for encoding and decisions
	staleShare                   float64 // share of the time without a usable reading of a server
}

// probingFleet is a set of relays' Schedulers on a simulated clock.
type probingFleet struct {
	rng         *rand.Rand // for the placement of requests
	relays      []probing.Relay
	servers     []probing.Server
	nodes       []*probingRelay
	relayIndex  map[string]int
	serverIndex map[uint64]int
	now         time.Duration
	unplaced    float64 // requests that are due and not placed yet
}

// probingRelay is one relay of a probingFleet.
type probingRelay struct {
	scheduler      *probing.Scheduler
	name           string
	rng            *rand.Rand
	readingTakenAt []time.Duration // time of the reading in use, by index of the server
	out, in        []sentMessage
	readingBytes   int // bytes sent so far
	placementBytes int
	packets        int
}

type sentMessage struct {
	to   string
	data []byte
}

func newProbingFleet(relays, servers int) *probingFleet {
	c := &probingFleet{
		rng:         rand.New(rand.NewPCG(uint64(relays), uint64(servers))),
		relayIndex:  map[string]int{},
		serverIndex: map[uint64]int{},
	}
	for i := range relays {
		name := fmt.Sprint("relay-", i)
		c.relays, c.relayIndex[name] = append(
			c.relays, probing.Relay{Name: name, Zone: fmt.Sprint("zone-", i%17)},
		), i
		c.nodes = append(
			c.nodes,
			&probingRelay{
				scheduler:      probing.New(name, uint64(i)),
				name:           name,
				rng:            rand.New(rand.NewPCG(uint64(i), 3)),
				readingTakenAt: make([]time.Duration, servers),
			},
		)
	}
	for i := range servers {
		s := probing.Server{Key: c.rng.Uint64(), Zone: fmt.Sprint("zone-", i%17), Started: 1.8e12}
		c.servers, c.serverIndex[s.Key] = append(c.servers, s), i
	}
	assignment := probing.Assign(c.relays, c.servers)
	for _, r := range c.nodes {
		c.execute(
			r,
			r.scheduler.Handle(
				c.now,
				probing.ParticipantsChanged{
					Relays:      c.relays,
					Incarnation: 1 << 40,
					Servers:     c.servers,
					Assignment:  assignment,
				},
				nil,
			),
		)
	}
	return c
}

// execute executes the actions of a relay's Scheduler. Messages are encoded as on the wire and arrive one
// step later.
func (c *probingFleet) execute(r *probingRelay, actions []probing.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case probing.Probe:
			load := 0.5 + 0.02*r.rng.NormFloat64()
			r.scheduler.Handle(
				c.now,
				probing.OwnReading{
					ServerKey: a.ServerKey,
					LoadReport: probing.LoadReport{Load: load, InFlight: 12, ErrorsPerSecond: -1,
						CPUUtilization: -1},
				},
				nil,
			)
			r.readingTakenAt[c.serverIndex[a.ServerKey]] = c.now
		case probing.UseReading:
			r.readingTakenAt[c.serverIndex[a.ServerKey]] = c.now - a.Age
		case probing.SendReadings:
			for rest := a.Readings; len(rest) > 0; {
				chunk := rest[:min(len(rest), maxReadingsPerPacket)]
				rest = rest[len(chunk):]
				r.readingBytes += r.send(a.To, kindReadings, encodeReadings(chunk))
			}
		case probing.SendPlacements:
			r.placementBytes += r.send(a.To, kindPlacements, encodePlacements(a.Deltas))
		}
	}
}

// send encodes a message, queues it for delivery and returns its size in bytes.
func (r *probingRelay) send(to string, k envelopeKind, body any) int {
	data, err := encodeEnvelope(r.name, 1<<40, 1<<20, k, body)
	if err != nil {
		panic(err)
	}
	r.packets++
	r.out = append(r.out, sentMessage{to, data})
	return len(data)
}

// runStep runs one step of one relay: it handles the received messages, then a Tick.
func (c *probingFleet) runStep(r *probingRelay) {
	for _, m := range r.in {
		e, err := decodeEnvelope(m.data)
		if err != nil {
			panic(err)
		}
		ev, err := decodeBatch(e)
		if err != nil {
			panic(err)
		}
		c.execute(r, r.scheduler.Handle(c.now, ev, nil))
	}
	r.in = r.in[:0]
	c.execute(r, r.scheduler.Handle(c.now, probing.Tick{}, nil))
}

// advance runs the steps of a time span and places requests at placementRate. Within a step relays do not
// depend on each other, so they run concurrently.
func (c *probingFleet) advance(span time.Duration) {
	for end := c.now + span; c.now < end; c.now += clockStep {
		for c.unplaced += placementRate * clockStep.Seconds(); c.unplaced >= 1; c.unplaced-- {
			s := c.servers[c.rng.IntN(len(c.servers))]
			c.nodes[c.rng.IntN(len(c.nodes))].scheduler.Handle(
				c.now, probing.LocalPlacement{ServerKey: s.Key, Delta: 1}, nil,
			)
		}
		var wait sync.WaitGroup
		workers := runtime.GOMAXPROCS(0)
		for w := range workers {
			wait.Go(func() {
				for i := w; i < len(c.nodes); i += workers {
					c.runStep(c.nodes[i])
				}
			})
		}
		wait.Wait()
		for _, r := range c.nodes {
			for _, m := range r.out {
				to := c.nodes[c.relayIndex[m.to]]
				to.in = append(to.in, m)
			}
			r.out = r.out[:0]
		}
	}
}

// totalSent returns the bytes of readings and of placements, and the packets, that all relays have sent so
// far.
func (c *probingFleet) totalSent() (readings, placements, packets float64) {
	for _, r := range c.nodes {
		readings += float64(r.readingBytes)
		placements += float64(r.placementBytes)
		packets += float64(r.packets)
	}
	return readings, placements, packets
}

// staleShare returns the share of all pairs of a relay and a server for which the relay has no usable reading
// now.
func (c *probingFleet) staleShare() float64 {
	n := 0
	for _, r := range c.nodes {
		for _, at := range r.readingTakenAt {
			if c.now-at > probing.MaxReadingAge {
				n++
			}
		}
	}
	return float64(n) / float64(len(c.relays)*len(c.servers))
}

// measureProbing simulates a number of relays and servers, and returns the cost over the watched time after a
// warm-up.
func measureProbing(relays, servers int, watch time.Duration) (cost probingCost) {
	c := newProbingFleet(relays, servers)
	c.advance(warmUp)
	const samples = 10
	readings, placements, packets := c.totalSent()
	cpuBefore := cpuSeconds()
	for range samples {
		c.advance(watch / samples)
		cost.staleShare += c.staleShare() / samples
	}
	relaySeconds := float64(relays) * watch.Seconds()
	cost.cpu = (cpuSeconds() - cpuBefore) / relaySeconds
	readingsAfter, placementsAfter, packetsAfter := c.totalSent()
	cost.readingBytes = (readingsAfter - readings) / relaySeconds
	cost.placementBytes = (placementsAfter - placements) / relaySeconds
	cost.packets = (packetsAfter - packets) / relaySeconds
	return cost
}

// Measures what sharing readings and placements costs each relay in bytes, packets and CPU time, by the
// numbers of relays and servers. Guards against more packets than a relay may send, and against readings that
// do not reach all relays in time.
func TestCostOfSharedProbing(t *testing.T) {
	sizes, watch := [][2]int{{10, 30}, {30, 30}}, 2*time.Second
	if os.Getenv("CAPERSAIL_LONG") == "1" {
		sizes = [][2]int{
			{10, 90}, {30, 90}, {100, 90}, {300, 90}, {600, 90}, {1100, 90}, {300, 10}, {300, 30}, {300, 330},
			{300, 1000}, {1100, 330}, {64, 20}, {64, 90}, {64, 330},
		}
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("relays=%d/servers=%d", size[0], size[1]), func(t *testing.T) {
			c := measureProbing(size[0], size[1], watch)
			t.Logf("%.0f bytes of readings, %.0f of placements, %.1f packets a relay a second; "+
				"%.2f ms of CPU time a relay a second; without a usable reading %.4f of the time",
				c.readingBytes, c.placementBytes, c.packets, c.cpu*1000, c.staleShare)
			if c.packets > maxPacketRate {
				t.Errorf("each relay sent %.1f packets a second, want at most maxPacketRate", c.packets)
			}
			if size[1] <= 30 && c.staleShare > maxStaleShare {
				t.Errorf("no usable reading for %.3f of the time, want at most maxStaleShare", c.staleShare)
			}
		})
	}
}
