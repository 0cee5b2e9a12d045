package lifecycle

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/admin"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/discovery"
	"capersail/internal/wire/platform"
)

const (
	reservedSockets   = 16      // descriptors that serve no client: the runtime's, the log's, discovery's, two addresses of it
	probeSockets      = 16      // and those of connections kept for probes; a site with more servers dials for some probes
	minSockets        = 64      // what a configuration has to allow, and adminSockets more with a second address
	unlimitedSockets  = 1 << 20 // where no limit is told
	migrationInterval = 50.0
	closePollInterval = 5.0
	maxServeSpan      = 3000.0 // the longest deadline, where it is longer, counts as this
	keepOpenFraction  = 0.7    // part of that time in which open connections are served on
	answerGrace       = 300.0  // after that time all that is held has its answer; SIGKILL comes 700 ms after it at the earliest
	closeGrace        = 600.0  // and by then every connection is closed
	rejectionLogBurst = 20     // log lines a second of what the guard denies
	minShutdown       = 700.0  // new connections go on coming for up to 400 ms after SIGTERM
)

// applyRuntimeLimits fits the runtime into the machine: one core, and a heap that stays under the memory applyRuntimeLimits, which the
// kernel enforces by killing the relay.
func applyRuntimeLimits(c *Config) {
	if c == nil {
		return // the operator's machine is not the platform's
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(200)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	}
}

// runningFront is one front with its core.
type runningFront struct {
	requests *relay.RequestTable
	listener net.Listener
	// inherited: the listening socket is the platform's, and lives on in the process that follows this one.
	inherited       bool
	limiter         *connlimit.Limiter
	serveFailed     chan error
	longestDeadline float64 // the longest deadline of its classes
	// reload reads the front's file again and hands each part its new value. Nothing has changed if it fails.
	reload func() error
}

func longestDeadline(site *relay.Deployment) (ms float64) {
	for _, class := range site.Settings.Classes {
		ms = max(ms, relay.Millis(class.Deadline))
	}
	return ms
}

// Sources say where the configuration comes from.
type Sources struct {
	Getenv   func(string) string // for LB_CONFIG, which names the platform's file, and what stands in for its keys
	XMPP     string              // the operator's file for the XMPP front; off if empty
	Resume   string              // the operator's file for moving with a token; off if empty
	Timeline string              // the operator's file for time lines; off if empty
	Members  string              // the operator's file for relays that know each other; off if empty
}

// Run serves until SIGTERM or SIGINT, then moves everyone, answers what is held, and returns. At SIGHUP
// it reads its files again. Either of the two fronts may be absent.
func Run(ctx context.Context, from Sources, signals <-chan os.Signal, log zerolog.Logger) error {
	var c *Config
	var o *XMPPConfig
	var err error
	if from.XMPP != "" {
		if o, err = ReadXMPPConfig(from.XMPP); err != nil {
			return err
		}
	}
	if from.XMPP == "" || from.Getenv("LB_CONFIG") != "" {
		if c, err = ReadConfig(from.Getenv, log); err != nil {
			return err
		}
	}
	all, err := readParts(from, c, log)
	if err != nil {
		return err
	}
	applyRuntimeLimits(c)
	ctx, stop := context.WithCancel(ctx)
	defer all.stop()
	defer stop()

	var relays []*runningFront
	failed := make(chan error, 2)
	add := func(r *runningFront, err error) error {
		if err != nil {
			return err
		}
		relays = append(relays, r)
		go func() { failed <- <-r.serveFailed }()
		return nil
	}
	if c != nil {
		if err := add(startPlatform(ctx, from, c, all, log)); err != nil {
			return err
		}
	}
	if o != nil {
		if err := add(startXMPP(ctx, from, o, all, log)); err != nil {
			return fmt.Errorf("xmpp: %w", err)
		}
	}
	if err := all.start(ctx); err != nil {
		return err
	}
	if c != nil && c.Admin != "" {
		o, err := startAdmin(ctx, c.Admin, relays, []admin.Front{{Source: relays[0].requests, Classes: classNames(c.Deployment)}}, all.metrics(), log)
		if err != nil {
			return err
		}
		o.serving.Store(true)
	}
	if err := waitForShutdown(ctx, relays, all, signals, failed, log); err != nil {
		return err
	}
	left := make(chan struct{})
	go func() {
		var fronts sync.WaitGroup
		for _, r := range relays {
			fronts.Go(func() {
				if r.inherited { // the successor accepts from the same queue: nothing that comes is turned back
					// Not waited for: where whoever else holds the socket has made it blocking, an accept in
					// progress holds the close until a connection comes.
					go r.listener.Close()
				}
				shutDownFront(r)
				r.listener.Close()
			})
		}
		fronts.Wait()
		all.leave()
		close(left)
	}()
	for {
		select {
		case s := <-signals:
			log.Info().Str("signal", s.String()).Msg("leaving already; ignored")
		case <-left:
			log.Info().Msg("done")
			return nil
		}
	}
}

// waitForShutdown follows signals until it is time to leave. A file that cannot be used changes nothing.
func waitForShutdown(ctx context.Context, relays []*runningFront, all partList, signals <-chan os.Signal, failed <-chan error, log zerolog.Logger) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info().Str("signal", s.String()).Msg("leaving")
				return nil
			}
			for _, r := range relays {
				if err := r.reload(); err != nil {
					log.Error().Err(err).Msg("the new configuration cannot be used; the old one stays in force")
				}
			}
			all.reload(log)
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return fmt.Errorf("accept: %w", err)
		}
	}
}

// connectionCapacity is how many descriptors clients, and their connections to servers, may have; the second address, where it
// is on, holds some of the rest.
func connectionCapacity(sockets int, second bool) int {
	if sockets == 0 {
		return unlimitedSockets
	}
	n := sockets - reservedSockets - probeSockets - connlimit.MaxEvicting
	if second {
		n -= adminSockets
	}
	return n
}

// classNames are the names of the classes, by number.
func classNames(site *relay.Deployment) []string {
	names := make([]string, len(site.Settings.Classes))
	for name, class := range site.Classes {
		if int(class) < len(names) {
			names[class] = name
		}
	}
	return names
}

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
	pollWithin := time.Duration(0)
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

// shutDownFront goes on accepting, moves everyone, and sees that whatever is held has its answer before SIGKILL. It ends once
// every connection has been closed from this side, in order: a process that ends over a line that nobody has read, or over
// an answer that the client has not taken, resets the connection, and the client has nothing.
//
// Open connections are served for most of the time there is, and moved evenly over the rest. In a rolling restart
// the relay before this one may be down still: whoever is moved at once finds no relay to come to. And all at
// once they would find every server loaded, as reports are a second old and still count them.
func shutDownFront(r *runningFront) {
	r.requests.BeginShutdown()
	began, span, all := r.requests.Clock.NowMillis(), min(r.longestDeadline, maxServeSpan), r.requests.MigrateSome(0)
	pause := func(ms float64) { <-r.requests.Clock.AfterMillis(ms) }
	for now := began; now < began+span+answerGrace; now = r.requests.Clock.NowMillis() {
		n := r.requests.MigrateSome(0) - keptDuringShutdown(all, now-began, span)
		if left := r.requests.MigrateSome(n); left == 0 && now >= began+minShutdown {
			break
		}
		pause(migrationInterval)
	}
	r.listener.Close() // nobody comes any more: see leastLeave
	r.requests.AnswerAllPending()
	r.requests.MigrateSome(r.requests.MigrateSome(0))
	r.limiter.Drain()
	for r.limiter.DescriptorsHeld() > 0 && r.requests.Clock.NowMillis() < began+span+closeGrace {
		pause(closePollInterval)
	}
}

// keptDuringShutdown is how many of all calls may still be there at some point of a leave that takes so long.
func keptDuringShutdown(all int, since, span float64) int {
	if span <= 0 { // no class has a deadline: SIGKILL may come 700 ms after SIGTERM
		return 0
	}
	return fractionOf(all, (span-since)/(span*(1-keepOpenFraction)))
}

// fractionOf is the share p of all, rounded up, p held between 0 and 1: how many are still kept at a point of a leave.
func fractionOf(all int, p float64) int { return int(math.Ceil(float64(all) * max(0, min(p, 1)))) }
