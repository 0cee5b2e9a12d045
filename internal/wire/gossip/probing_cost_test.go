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
	clockStep     = 25 * time.Millisecond // between two steps of the set clock
	warmUp        = 3 * time.Second       // until all is even
	placementRate = 200.0                 // requests a second of the whole fleet: what placements are told up to
	// maxPacketRate is packets a second out of a relay: a round each 150 ms at most a tenth sooner, to three
	// peers, of two packets of readings and one of placements.
	maxPacketRate = 3 * 3 / 0.135
	maxStaleShare = 0.02 // part of the time that a relay may be without a usable reading of one of few servers
)

// probingCost is what relays say of servers: readings and placements, in sealed packets without the seal's
// own bytes.
type probingCost struct {
	readings, placed float64 // bytes a relay a second
	packets          float64 // a relay a second
	processor        float64 // s of processor time a relay a second, packing and weighing
	without          float64 // part of the time that a relay has no usable reading of a server
}

// probingFleet are relays' deciders on a set clock.
type probingFleet struct {
	rng         *rand.Rand // of the requests that are placed
	relays      []probing.Relay
	servers     []probing.Server
	nodes       []*probingRelay
	relayIndex  map[string]int
	serverIndex map[uint64]int
	now         time.Duration
	unplaced    float64 // requests not yet placed
}

// probingRelay is one relay: its decider, the time at which it last believed something of each server, and
// what it has told.
type probingRelay struct {
	scheduler      *probing.Scheduler
	name           string
	rng            *rand.Rand
	readingTakenAt []time.Duration
	out, in        []sentMessage
	readings       int // bytes told
	placed         int
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
	table := probing.Assign(c.relays, c.servers)
	for _, r := range c.nodes {
		c.execute(
			r,
			r.scheduler.Handle(
				c.now,
				probing.ParticipantsChanged{
					Relays:      c.relays,
					Incarnation: 1 << 40,
					Servers:     c.servers,
					Assignment:  table,
				},
				nil,
			),
		)
	}
	return c
}

// act carries out what a relay's decider wants. What it tells goes through the wire's form, and arrives a
// step later.
func (c *probingFleet) execute(r *probingRelay, acts []probing.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case probing.Probe:
			load := 0.5 + 0.02*r.rng.NormFloat64()
			r.scheduler.Handle(
				c.now,
				probing.OwnReading{
					ServerKey:  a.ServerKey,
					LoadReport: probing.LoadReport{Load: load, Inflight: 12, Errors: -1, Busy: -1},
				},
				nil,
			)
			r.readingTakenAt[c.serverIndex[a.ServerKey]] = c.now
		case probing.UseReading:
			r.readingTakenAt[c.serverIndex[a.ServerKey]] = c.now - a.Age
		case probing.SendReadings:
			for rest := a.Readings; len(rest) > 0; {
				some := rest[:min(len(rest), maxReadingsPerPacket)]
				rest = rest[len(some):]
				r.readings += r.send(a.To, kindReadings, encodeReadings(some))
			}
		case probing.SendPlacements:
			r.placed += r.send(a.To, kindPlacements, encodePlacements(a.Rows))
		}
	}
}

// post seals a message and returns its size.
func (r *probingRelay) send(to string, k envelopeKind, body any) int {
	data, err := encodeEnvelope(r.name, 1<<40, 1<<20, k, body)
	if err != nil {
		panic(err)
	}
	r.packets++
	r.out = append(r.out, sentMessage{to, data})
	return len(data)
}

// turn is one step of one relay: what has come, then what is due.
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

// pass lets time go by, with requests placed all the while. The relays of one step do not meet, so they go
// side by side.
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

// told is what all relays have told so far: bytes of readings and of placements, and packets.
func (c *probingFleet) totalSent() (readings, placed, packets float64) {
	for _, r := range c.nodes {
		readings += float64(r.readings)
		placed += float64(r.placed)
		packets += float64(r.packets)
	}
	return readings, placed, packets
}

// stale is the part of all relays and servers for which there is no usable reading now.
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

// measureProbing plays so many relays and servers for a time, once all is even.
func measureProbing(relays, servers int, watch time.Duration) (cost probingCost) {
	c := newProbingFleet(relays, servers)
	c.advance(warmUp)
	const looks = 10
	readings, placed, packets := c.totalSent()
	began := cpuSeconds()
	for range looks {
		c.advance(watch / looks)
		cost.without += c.staleShare() / looks
	}
	each := float64(relays) * watch.Seconds()
	cost.processor = (cpuSeconds() - began) / each
	readings2, placed2, packets2 := c.totalSent()
	cost.readings = (readings2 - readings) / each
	cost.placed = (placed2 - placed) / each
	cost.packets = (packets2 - packets) / each
	return cost
}

// What relays tell each other of servers, by the number of either: bytes, packets and processor time of one
// relay, and whether the readings come round.
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
				"%.2f ms of processor time a relay a second; without a usable reading %.4f of the time",
				c.readings, c.placed, c.packets, c.processor*1000, c.without)
			if c.packets > maxPacketRate {
				t.Errorf("%.1f packets a second out of a relay", c.packets)
			}
			if size[1] <= 30 && c.without > maxStaleShare {
				t.Errorf("no usable reading %.3f of the time", c.without)
			}
		})
	}
}
