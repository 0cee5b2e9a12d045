package lifecycle

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/discovery"
	"capersail/internal/wire/platform"
)

// startPlatform starts the platform's front.
func startPlatform(ctx context.Context, from Sources, c *Config, all partList, log zerolog.Logger) (*runningFront, error) {
	// The simulator's note of slow messages has no line on the sockets: under a load of 1.3 the clients' own
	// lines still come back within 0.3 ms. The module is to know that a reading is all it will get.
	c.Deployment.Settings.ReportsMessageDelay = false
	clock := relay.NewClock()
	servers := &platform.Servers{Clock: clock, ConnectTimeout: relay.Millis(c.Deployment.Settings.ConnectTimeout), LoadKey: c.Deployment.LoadField, Keep: probeSockets}
	x := relay.NewRequestTable(c.Deployment, clock, servers)
	x.Log = log.Sample(&zerolog.BurstSampler{Burst: rejectionLogBurst, Period: time.Second})
	lister := discovery.NewClient(c.Discovery, x, log)
	lister.Pushed = !c.Deployment.Settings.MustSubscribe
	l, inherited, err := listen(c)
	if err != nil {
		return nil, err
	}
	door := connlimit.New(clock, connectionCapacity(c.Sockets, c.Admin != ""), log)
	front := &platform.Front{X: x, Site: c.Deployment, Gate: door}
	joint := &frontSeam{front: "platform", relay: c.Name, requests: x, clock: clock, platform: front, deployment: c.Deployment, discovery: lister}
	all.join(joint)
	var pollWithin time.Duration
	if c.Deployment.Settings.MustSubscribe {
		pollWithin = c.Deployment.Settings.Rules.PollWithin
	}
	x.LeaseEndpointList(pollWithin)
	x.UpdateEndpoints(decide.Cached, c.CachedList.Endpoints)
	if inherited && !lister.Pushed { // in an upgrade this relay starts alone: it need not wait for its turn
		lister.Watch()
	}
	go lister.Run(ctx, c.CachedList.Version)
	core := relay.NewEventLoop(x, c.Seed, lister, log)
	core.FleetView, core.SharedProbing = joint.fleet, joint.probeSharing
	go core.Run(ctx)
	r := &runningFront{requests: x, listener: l, inherited: inherited, limiter: door, serveFailed: make(chan error, 1), longestDeadline: longestDeadline(c.Deployment)}
	r.reload = func() error {
		n, err := ReadConfig(from.Getenv, log)
		if err != nil {
			return err
		}
		lister.SetAddress(n.Discovery)
		applyRuntimeLimits(n)
		door.SetDescriptorLimit(connectionCapacity(n.Sockets, c.Admin != ""))
		log.Info().Str("discovery", n.Discovery).Int("memory_mb", n.MemoryMB).Int("sockets", n.Sockets).
			Bool("needs_restart", n.Name != c.Name || n.Listen != c.Listen || n.settingsText != c.settingsText).Msg("reloaded")
		return nil
	}
	go func() { r.serveFailed <- front.Serve(l) }()
	log.Info().Str("name", c.Name).Str("listen", l.Addr().String()).Bool("inherited", inherited).Int("servers", len(c.CachedList.Endpoints)).Msg("serving")
	return r, nil
}
