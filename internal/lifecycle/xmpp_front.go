package lifecycle

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/xmpp"
	"capersail/internal/wire/zookeeper"
)

const (
	// xmppMaxAttempts bounds the attempts for a request. A retry is made only if no SASL bytes have been
	// sent.
	xmppMaxAttempts = 2
	// xmppTick is the granularity of the decision module's timers.
	xmppTick = 5 * time.Millisecond
)

// startXMPP starts the XMPP front, with its own event loop and ZooKeeper client, which stop when ctx ends.
// The front accepts connections once its startServing is called. In an upgrade its address may be in use by
// the process that this one replaces.
func startXMPP(
	ctx context.Context, sources Sources, c *XMPPConfig, parts partList, upgrade bool, log zerolog.Logger,
) (*runningFront, error) {
	deployment, hosts := c.Deployment()
	secure, err := c.tlsConfig()
	if err != nil {
		return nil, err
	}
	clock := relay.NewClock()
	limiter := connlimit.New(clock, connectionCapacity(c.Sockets, false), log)
	servers := &xmpp.ServerDialer{
		Clock:          clock,
		ConnectTimeout: relay.DurationFromMillis(c.ConnectMs),
		ProbeHost:      c.Hosts[0].To,
		SilenceTimeout: relay.DurationFromMillis(c.SilenceMs),
		Log:            limiter.Log,
	}
	requests := relay.NewRequestTable(deployment, clock, servers)
	parts.join(&frontHooks{
		frontName: "xmpp",
		relayName: "xmpp",
		upgrade:   upgrade,
		requests:  requests,
		clock:     clock,
	})
	endpoints := zookeeper.NewClient(c.ensemble(), requests, log)
	requests.UpdateEndpoints(decide.CachedSnapshot, nil)
	endpoints.Watch() // there is no cached list to start with
	listener, err := listenOrTakeOver(c.Listen, upgrade)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	front := &xmpp.Frontend{Requests: requests, Hosts: hosts, Limiter: limiter}
	front.TLS.Store(secure)
	go endpoints.Run(ctx)
	go relay.NewEventLoop(requests, rand.Uint64(), endpoints, log).Run(ctx)
	r := &runningFront{
		requests:        requests,
		listener:        listener,
		limiter:         limiter,
		serveErr:        make(chan error, 1),
		longestDeadline: longestDeadline(deployment),
	}
	r.reload = func() error { return reloadXMPP(sources.XMPP, c, front, endpoints, limiter, log) }
	r.startServing = func() {
		go func() { r.serveErr <- front.Serve(listener) }()
		log.Info().Str("listen", listener.Addr().String()).Msg("serving XMPP")
	}
	return r, nil
}

// reloadXMPP reads the file again and applies the values that can change while the relay runs: the
// certificate, the addresses of ZooKeeper and the limit.
func reloadXMPP(
	path string, c *XMPPConfig, front *xmpp.Frontend, endpoints *zookeeper.Client, limiter *connlimit.Limiter,
	log zerolog.Logger,
) error {
	next, err := ReadXMPPConfig(path)
	if err != nil {
		return err
	}
	secure, err := next.tlsConfig()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	endpoints.SetEnsemble(next.ensemble())
	front.TLS.Store(secure)
	limiter.SetDescriptorLimit(connectionCapacity(next.Sockets, false))
	log.Info().
		Strs("zookeeper", next.ZooKeeper.Servers).
		Bool("needs_restart", next.restartOnlySettings() != c.restartOnlySettings()).
		Msg("reloaded XMPP")
	return nil
}

// Deployment returns the decision module's settings for the file, and the hosts by name. Every class is
// non-idempotent: once SASL bytes of a client have reached a server, a failed attempt is not retried.
func (c *XMPPConfig) Deployment() (*relay.Deployment, map[string]xmpp.Host) {
	deployment := &relay.Deployment{
		Classes: map[string]decide.Class{},
		Tenants: map[string]decide.Tenant{},
		Zones:   map[string]decide.Zone{},
	}
	for i, zone := range c.Zones {
		deployment.Zones[zone] = decide.Zone(i)
	}
	deployment.Settings = decide.Settings{
		RelayIndex:     c.RelayIndex,
		Relays:         c.Relays,
		Zone:           deployment.Zones[c.Zone],
		Zones:          len(c.Zones),
		MaxAttempts:    xmppMaxAttempts,
		Probes:         true,
		RetryAfter:     true,
		MaxRetryAfter:  relay.DurationFromMillis(c.MaxRetryAfterMs),
		ConnectTimeout: relay.DurationFromMillis(c.ConnectMs),
		Tick:           xmppTick,
		MustSubscribe:  true,
		Rules:          decide.Rules{PollDeadline: relay.DurationFromMillis(c.ZooKeeper.SessionMs)},
	}
	for i, class := range c.Classes {
		deployment.Classes[class.Name] = decide.Class(i)
		deployment.Settings.Classes = append(deployment.Settings.Classes, decide.ClassInfo{
			LatencyObjective: relay.DurationFromMillis(class.SetupMs),
			Deadline:         relay.DurationFromMillis(class.DeadlineMs),
			Idempotency:      decide.NonIdempotent,
			PriorityWeight:   class.PriorityWeight,
		})
	}
	return deployment, c.hosts(deployment)
}

// hosts returns the hosts by name. It adds their tenants to the deployment, with equal shares of the service.
func (c *XMPPConfig) hosts(deployment *relay.Deployment) map[string]xmpp.Host {
	deadlines := map[string]float64{} // by class, in ms
	for _, class := range c.Classes {
		deadlines[class.Name] = class.DeadlineMs
	}
	hosts := map[string]xmpp.Host{}
	for _, host := range c.Hosts {
		key := host.Key
		if key == "" {
			key = host.To
		}
		hosts[host.To] = xmpp.Host{
			Class:        deployment.Classes[host.Class],
			Tenant:       tenantNumber(deployment, host.Tenant),
			Key:          relay.ServerKey(key),
			SetupTimeout: relay.DurationFromMillis(deadlines[host.Class]),
		}
	}
	tenants := deployment.Settings.Tenants
	for i := range tenants {
		tenants[i].ServiceShare = 1 / float64(len(tenants))
	}
	return hosts
}

// tenantNumber returns the number of a tenant, and adds the tenant if it is new; NoTenant for "".
func tenantNumber(deployment *relay.Deployment, name string) decide.Tenant {
	if name == "" {
		return decide.NoTenant
	}
	tenant, known := deployment.Tenants[name]
	if !known {
		tenant = decide.Tenant(len(deployment.Settings.Tenants))
		deployment.Tenants[name] = tenant
		deployment.Settings.Tenants = append(deployment.Settings.Tenants, decide.TenantInfo{})
	}
	return tenant
}

func (c *XMPPConfig) ensemble() zookeeper.Ensemble {
	return zookeeper.Ensemble{
		Addresses:      c.ZooKeeper.Servers,
		Path:           c.ZooKeeper.Path,
		SessionTimeout: relay.DurationFromMillis(c.ZooKeeper.SessionMs),
	}
}

// tlsConfig loads the certificate for STARTTLS. It returns nil without a certificate, which check allows
// only with plaintext.
func (c *XMPPConfig) tlsConfig() (*tls.Config, error) {
	if c.CertificateFile == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
	if err != nil {
		return nil, &ConfigError{Key: "certificate", Err: err}
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}
