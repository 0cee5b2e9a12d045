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

// looks is the part of a relay that looks at servers by turns with the others: the core loop of the program, with a list of
// servers that does not change and servers that answer in memory.
type looks struct {
	exchange *relay.RequestTable
	shared   *relay.SharedProbing
	list     []relay.Endpoint
}

// answerAfter is how long a server takes for its answer to a probe.
const answerAfter = 2 * time.Millisecond

func newLooks(c Config, clock *relay.Clock) *looks {
	l := &looks{}
	site := &relay.Deployment{Settings: decide.Settings{Relays: c.Relays, Zones: c.Layout.Zones, MaxAttempts: 6, Probes: true, RetryAfter: true,
		MaxRetryAfter: 1500 * time.Millisecond, ConnectTimeout: 150 * time.Millisecond, Tick: 10 * time.Millisecond}, Zones: map[string]decide.Zone{}}
	for i := range c.Layout.Zones {
		site.Zones[c.Layout.Place(i).Zone] = decide.Zone(i)
	}
	for i := range c.Servers {
		l.list = append(l.list, relay.Endpoint{ID: fmt.Sprintf("s%04d", i), Address: fmt.Sprintf("127.8.%d.%d:1", i/250, 1+i%250), Zone: c.Layout.Place(i).Zone, Mode: decide.Ready, Load: -1})
	}
	l.exchange = relay.NewRequestTable(site, clock, l)
	return l
}

// start runs the core loop until the context ends.
func (l *looks) start(ctx context.Context, name string, seed uint64, node *gossip.Node) {
	l.shared = relay.NewSharedProbing(l.exchange, name, seed, node, func(string) {})
	core := relay.NewEventLoop(l.exchange, seed, l, zerolog.Nop())
	core.FleetView, core.SharedProbing = node, l.shared
	go core.Run(ctx)
}

func (l *looks) hear(ev probing.Event) { l.shared.Receive(ev) }

// Watch is relay.Discovery's: the list comes once and stays.
func (l *looks) Watch() { l.exchange.UpdateEndpoints(decide.Snapshot, l.list) }

// Fetch is relay.Discovery's.
func (l *looks) Fetch() { l.exchange.UpdateEndpoints(decide.Snapshot, l.list) }

// StartAttempt is relay.Servers': there are no clients, so nothing is tried.
func (l *looks) StartAttempt(*relay.Request, relay.Attempt) {}

// Probe is relay.Servers': each server tells a load of its own, which moves a little.
func (l *looks) Probe(s relay.Server, done func(decide.Status, decide.LoadReport)) {
	load := 0.3 + 0.4*float64(s.Number%16)/16 + 0.02*float64(time.Now().Unix()%3)
	time.AfterFunc(answerAfter, func() {
		done(decide.OK, decide.LoadReport{Load: load, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1})
	})
}
