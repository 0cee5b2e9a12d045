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

// prober is the part of a relay that prober at servers by turns with the others: the core loop of the program, with a list of
// servers that does not change and servers that answer in memory.
type prober struct {
	table     *relay.RequestTable
	shared    *relay.SharedProbing
	endpoints []relay.Endpoint
}

// answerAfter is how long a server takes for its answer to a probe.
const answerAfter = 2 * time.Millisecond

func newProber(c Config, clock *relay.Clock) *prober {
	l := &prober{}
	site := &relay.Deployment{Settings: decide.Settings{Relays: c.Relays, Zones: c.Layout.Zones, MaxAttempts: 6, Probes: true, RetryAfter: true,
		MaxRetryAfter: 1500 * time.Millisecond, ConnectTimeout: 150 * time.Millisecond, Tick: 10 * time.Millisecond}, Zones: map[string]decide.Zone{}}
	for i := range c.Layout.Zones {
		site.Zones[c.Layout.Place(i).Zone] = decide.Zone(i)
	}
	for i := range c.Servers {
		l.endpoints = append(l.endpoints, relay.Endpoint{ID: fmt.Sprintf("s%04d", i), Address: fmt.Sprintf("127.8.%d.%d:1", i/250, 1+i%250), Zone: c.Layout.Place(i).Zone, Mode: decide.Ready, Load: -1})
	}
	l.table = relay.NewRequestTable(site, clock, l)
	return l
}

// start runs the core loop until the context ends.
func (l *prober) start(ctx context.Context, name string, seed uint64, node *gossip.Node) {
	l.shared = relay.NewSharedProbing(l.table, name, seed, node, func(string) {})
	core := relay.NewEventLoop(l.table, seed, l, zerolog.Nop())
	core.FleetView, core.SharedProbing = node, l.shared
	go core.Run(ctx)
}

func (l *prober) receive(ev probing.Event) { l.shared.Receive(ev) }

// Watch is relay.Discovery's: the list comes once and stays.
func (l *prober) Watch() { l.table.UpdateEndpoints(decide.Snapshot, l.endpoints) }

// Fetch is relay.Discovery's.
func (l *prober) Fetch() { l.table.UpdateEndpoints(decide.Snapshot, l.endpoints) }

// StartAttempt is relay.Servers': there are no clients, so nothing is tried.
func (l *prober) StartAttempt(*relay.Request, relay.Attempt) {}

// Probe is relay.Servers': each server tells a load of its own, which moves a little.
func (l *prober) Probe(s relay.Server, done func(decide.Status, decide.LoadReport)) {
	load := 0.3 + 0.4*float64(s.Number%16)/16 + 0.02*float64(time.Now().Unix()%3)
	time.AfterFunc(answerAfter, func() {
		done(decide.OK, decide.LoadReport{Load: load, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1})
	})
}
