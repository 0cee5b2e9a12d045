package lifecycle

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/discovery"
	"capersail/internal/wire/platform"
)

// startPlatform starts the platform's front, with its own event loop and discovery client, which stop when
// ctx ends. The front accepts connections once its startServing is called.
func startPlatform(
	ctx context.Context, sources Sources, c *Config, parts partList, log zerolog.Logger,
) (*runningFront, error) {
	// The simulator reports slow messages, but the platform's protocol has no line for them. The setting
	// tells the decision module that it gets load reports only.
	c.Deployment.Settings.ReportsMessageDelay = false
	settings := c.Deployment.Settings
	clock := relay.NewClock()
	requests := newPlatformRequests(c, clock, log)
	endpoints := discovery.NewClient(c.Discovery, requests, log)
	endpoints.LocalAgent = !settings.MustSubscribe
	listener, inherited, err := listen(c)
	if err != nil {
		return nil, err
	}
	if inherited { // another process of the relay may serve the socket
		names, err := openNameLocks(os.TempDir())
		if err != nil {
			return nil, err
		}
		requests.SetNameClaims(names)
	}
	limiter := connlimit.New(clock, connectionCapacity(c.Sockets, c.Admin != ""), log)
	front := &platform.Frontend{Requests: requests, Deployment: c.Deployment, Limiter: limiter}
	hooks := &frontHooks{
		frontName: "platform",
		relayName: c.Name,
		upgrade:   inherited,
		requests:  requests,
		clock:     clock,
		platform:  front,
		discovery: endpoints,
	}
	parts.join(hooks)
	startEndpointLease(requests, c)
	if inherited && !endpoints.LocalAgent {
		endpoints.Watch() // in an upgrade only this relay starts: no phase offset is needed
	}
	go endpoints.Run(ctx, c.CachedList.Version)
	loop := relay.NewEventLoop(requests, c.Seed, endpoints, log)
	loop.FleetStatus, loop.SharedProbing = hooks.fleet, hooks.sharedProbing
	go loop.Run(ctx)
	r := &runningFront{
		requests:        requests,
		listener:        listener,
		inherited:       inherited,
		limiter:         limiter,
		serveErr:        make(chan error, 1),
		longestDeadline: longestDeadline(c.Deployment),
	}
	r.reload = func() error { return reloadPlatform(sources, c, endpoints, limiter, log) }
	r.startServing = func() {
		go func() { r.serveErr <- front.Serve(listener) }()
		logServing(c, r, log)
	}
	return r, nil
}

// logServing logs that the platform's front accepts connections.
func logServing(c *Config, r *runningFront, log zerolog.Logger) {
	log.Info().
		Str("name", c.Name).
		Str("listen", r.listener.Addr().String()).
		Bool("inherited", r.inherited).
		Int("servers", len(c.CachedList.Endpoints)).
		Msg("serving")
}

// newPlatformRequests returns the request table of the platform's front, with the dialer for its servers.
func newPlatformRequests(c *Config, clock *relay.Clock, log zerolog.Logger) *relay.RequestTable {
	servers := &platform.ServerDialer{
		Clock:             clock,
		ConnectTimeout:    c.Deployment.Settings.ConnectTimeout,
		LoadField:         c.Deployment.LoadField,
		MaxIdleProbeConns: probeSockets,
	}
	requests := relay.NewRequestTable(c.Deployment, clock, servers)
	requests.Log = log.Sample(&zerolog.BurstSampler{Burst: rejectionLogBurst, Period: time.Second})
	return requests
}

// startEndpointLease starts the lease of the endpoint list, and loads the cached list.
func startEndpointLease(requests *relay.RequestTable, c *Config) {
	pollWithin := time.Duration(0)
	if c.Deployment.Settings.MustSubscribe {
		pollWithin = c.Deployment.Settings.Rules.PollDeadline
	}
	requests.EnableEndpointLease(pollWithin)
	requests.UpdateEndpoints(decide.CachedSnapshot, c.CachedList.Endpoints)
}

// reloadPlatform reads the file again and applies the values that can change while the relay runs: the
// address of discovery and the limits.
func reloadPlatform(
	sources Sources, c *Config, endpoints *discovery.Client, limiter *connlimit.Limiter, log zerolog.Logger,
) error {
	next, err := ReadConfig(sources.Getenv, log)
	if err != nil {
		return err
	}
	endpoints.SetAddress(next.Discovery)
	applyRuntimeLimits(next)
	limiter.SetDescriptorLimit(connectionCapacity(next.Sockets, c.Admin != ""))
	log.Info().
		Str("discovery", next.Discovery).
		Int("memory_mb", next.MemoryMB).
		Int("sockets", next.Sockets).
		Bool("needs_restart", c.needsRestart(next)).
		Msg("reloaded")
	return nil
}

// needsRestart reports whether a new configuration changes values that need a restart.
func (c *Config) needsRestart(next *Config) bool {
	return next.Name != c.Name || next.Listen != c.Listen || next.settingsText != c.settingsText
}
