package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/fleet/probing"
	"capersail/internal/relay"
	"capersail/internal/wire/gossip"
)

// prober is the part of a relay that probes its share of the servers and exchanges load reports with other
// relays. It runs the program's event loop with a fixed endpoint list and with servers that answer in memory.
type prober struct {
	table     *relay.RequestTable
	shared    *relay.SharedProbing
	endpoints []relay.Endpoint
}

// probeLatency is how long a server takes to answer a probe.
const probeLatency = 2 * time.Millisecond

func newProber(c Config, clock *relay.Clock) *prober {
	p := &prober{}
	deployment := &relay.Deployment{
		Settings: decide.Settings{
			Relays:         c.Relays,
			Zones:          c.Layout.Zones,
			MaxAttempts:    6,
			Probes:         true,
			RetryAfter:     true,
			MaxRetryAfter:  1500 * time.Millisecond,
			ConnectTimeout: 150 * time.Millisecond,
			Tick:           10 * time.Millisecond,
		},
		Zones: map[string]decide.Zone{},
	}
	for i := range c.Layout.Zones {
		deployment.Zones[c.Layout.Place(i).Zone] = decide.Zone(i)
	}
	for i := range c.Servers {
		p.endpoints = append(p.endpoints, relay.Endpoint{
			ID:      fmt.Sprintf("s%04d", i),
			Address: fmt.Sprintf("127.8.%d.%d:1", i/250, 1+i%250),
			Zone:    c.Layout.Place(i).Zone,
			State:   decide.Ready,
			Load:    -1,
		})
	}
	p.table = relay.NewRequestTable(deployment, clock, p)
	return p
}

// start runs the event loop until the context ends.
func (p *prober) start(ctx context.Context, name string, seed uint64, node *gossip.Node) {
	p.shared = relay.NewSharedProbing(p.table, name, seed, node, func(string) {})
	loop := relay.NewEventLoop(p.table, seed, p, zerolog.Nop())
	loop.FleetStatus = node
	loop.SharedProbing = p.shared
	go loop.Run(ctx)
}

func (p *prober) receive(ev probing.Event) { p.shared.Receive(ev) }

// Watch implements relay.Discovery. The endpoint list never changes, so one snapshot is all.
func (p *prober) Watch() { p.table.UpdateEndpoints(decide.Snapshot, p.endpoints) }

// Fetch implements relay.Discovery.
func (p *prober) Fetch() { p.table.UpdateEndpoints(decide.Snapshot, p.endpoints) }

// StartAttempt implements relay.ServerDialer. There are no clients, so no attempt is made.
func (p *prober) StartAttempt(*relay.Request, relay.Attempt) {}

// Probe implements relay.ServerDialer. Each server reports a load of its own that changes a little each
// second.
func (p *prober) Probe(s relay.Server, done func(decide.Status, decide.LoadReport)) {
	load := 0.3 + 0.4*float64(s.Number%16)/16 + 0.02*float64(time.Now().Unix()%3)
	time.AfterFunc(probeLatency, func() {
		done(decide.OK, decide.LoadReport{Load: load, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1})
	})
}
