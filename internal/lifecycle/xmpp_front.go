package lifecycle

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/xmpp"
	"capersail/internal/wire/zookeeper"
)

// startXMPP starts the XMPP front with a core of its own.
func startXMPP(ctx context.Context, from Sources, o *XMPPConfig, all partList, log zerolog.Logger) (*runningFront, error) {
	site, hosts := o.Deployment()
	secure, err := o.tlsConfig()
	if err != nil {
		return nil, err
	}
	clock := relay.NewClock()
	servers := &xmpp.Servers{Clock: clock, ConnectTimeout: o.ConnectMs, ProbeTo: o.Host[0].To, Silent: o.SilentMs, Log: log}
	x := relay.NewRequestTable(site, clock, servers)
	all.join(&frontSeam{front: "xmpp", relay: "xmpp", requests: x, clock: clock})
	lister := zookeeper.NewClient(o.ensemble(), x, log)
	x.UpdateEndpoints(decide.Cached, nil)
	lister.Watch() // there is no cached list to begin with
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	door := connlimit.New(clock, connectionCapacity(o.Sockets, false), log)
	front := &xmpp.Front{X: x, Hosts: hosts, Gate: door}
	front.TLS.Store(secure)
	go lister.Run(ctx)
	go relay.NewEventLoop(x, rand.Uint64(), lister, log).Run(ctx)
	r := &runningFront{requests: x, listener: l, limiter: door, serveFailed: make(chan error, 1), longestDeadline: longestDeadline(site)}
	r.reload = func() error {
		n, err := ReadXMPPConfig(from.XMPP)
		if err != nil {
			return err
		}
		secure, err := n.tlsConfig()
		if err != nil {
			return fmt.Errorf("%s: %w", from.XMPP, err)
		}
		lister.Move(n.ensemble())
		front.TLS.Store(secure)
		door.SetDescriptorLimit(connectionCapacity(n.Sockets, false))
		log.Info().Strs("zookeeper", n.ZooKeeper.Servers).Bool("needs_restart", n.restartOnly() != o.restartOnly()).Msg("reloaded XMPP")
		return nil
	}
	go func() { r.serveFailed <- front.Serve(l) }()
	log.Info().Str("listen", l.Addr().String()).Msg("serving XMPP")
	return r, nil
}

// Deployment turns the file into the module's settings. Every class is Unsafe there: once a client's SASL bytes
// have reached a server a lost set-up is final.
func (o *XMPPConfig) Deployment() (*relay.Deployment, map[string]xmpp.Host) {
	site := &relay.Deployment{Classes: map[string]decide.Class{}, Tenants: map[string]decide.Tenant{}, Zones: map[string]decide.Zone{}}
	for i, z := range o.Zones {
		site.Zones[z] = decide.Zone(i)
	}
	site.Settings = decide.Settings{RelayIndex: o.Me, Relays: o.Relays, Zone: site.Zones[o.Zone], Zones: len(o.Zones), MaxAttempts: 2,
		Probes: true, RetryAfter: true, MaxRetryAfter: relay.Duration(o.MaxRetryMs), ConnectTimeout: relay.Duration(o.ConnectMs),
		Tick: relay.Duration(5), MustSubscribe: true, Rules: decide.Rules{PollWithin: relay.Duration(o.ZooKeeper.SessionMs)}}
	deadlines := map[string]float64{}
	for i, c := range o.Class {
		site.Classes[c.Name] = decide.Class(i)
		deadlines[c.Name] = c.DeadlineMs
		site.Settings.Classes = append(site.Settings.Classes, decide.ClassInfo{LatencyObjective: relay.Duration(c.SetupMs),
			Deadline: relay.Duration(c.DeadlineMs), Idempotency: decide.NonIdempotent, PriorityWeight: c.Worth})
	}
	hosts := map[string]xmpp.Host{}
	for _, h := range o.Host {
		tenant, known := site.Tenants[h.Tenant]
		switch {
		case h.Tenant == "":
			tenant = decide.NoTenant
		case !known:
			tenant = decide.Tenant(len(site.Settings.Tenants))
			site.Tenants[h.Tenant] = tenant
			site.Settings.Tenants = append(site.Settings.Tenants, decide.TenantInfo{})
		}
		key := h.Key
		if key == "" {
			key = h.To
		}
		hosts[h.To] = xmpp.Host{Class: site.Classes[h.Class], Tenant: tenant, Key: relay.ServerKey(key), Left: deadlines[h.Class]}
	}
	for i := range site.Settings.Tenants {
		site.Settings.Tenants[i].ServiceShare = 1 / float64(len(site.Settings.Tenants))
	}
	return site, hosts
}

func (o *XMPPConfig) ensemble() zookeeper.Ensemble {
	return zookeeper.Ensemble{Addresses: o.ZooKeeper.Servers, Path: o.ZooKeeper.Path, Session: o.ZooKeeper.SessionMs}
}

// tlsConfig loads what STARTTLS needs; nil only where plaintext is allowed.
func (o *XMPPConfig) tlsConfig() (*tls.Config, error) {
	if o.Certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}
