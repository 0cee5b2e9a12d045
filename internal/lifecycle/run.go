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
	ownSockets   = 16      // descriptors that serve no client: the runtime's, the log's, discovery's, two addresses of it
	probeSockets = 16      // and those of connections kept for probes; a site with more servers dials for some probes
	leastSockets = 64      // what a configuration has to allow, and adminSockets more with a second address
	anySockets   = 1 << 20 // where no limit is told
	moveStep     = 50.0
	closeStep    = 5.0
	longestLeave = 3000.0 // the longest deadline, where it is longer, counts as this
	holdPart     = 0.7    // part of that time in which open connections are served on
	graceAfter   = 300.0  // after that time all that is held has its answer; SIGKILL comes 700 ms after it at the earliest
	closeAfter   = 600.0  // and by then every connection is closed
	guardLines   = 20     // log lines a second of what the guard denies
	leastLeave   = 700.0  // new connections go on coming for up to 400 ms after SIGTERM
)

// limit fits the runtime into the machine: one core, and a heap that stays under the memory limit, which the
// kernel enforces by killing the relay.
func limit(c *Config) {
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
	x        *relay.Exchange
	listener net.Listener
	// inherited: the listening socket is the platform's, and lives on in the process that follows this one.
	inherited bool
	door      *connlimit.Gate
	failed    chan error
	longest   float64 // the longest deadline of its classes
	// reload reads the front's file again and hands each part its new value. Nothing has changed if it fails.
	reload func() error
}

func longest(site *relay.Site) (ms float64) {
	for _, class := range site.Settings.Classes {
		ms = max(ms, relay.Millis(class.Deadline))
	}
	return ms
}

// Sources say where the configuration comes from.
type Sources struct {
	Getenv   func(string) string // for LB_CONFIG, which names the platform's file, and what stands in for its keys
	Operator string              // the operator's file for the XMPP front; off if empty
	Resume   string              // the operator's file for moving with a token; off if empty
	Timeline string              // the operator's file for time lines; off if empty
	Members  string              // the operator's file for relays that know each other; off if empty
}

// Run serves until SIGTERM or SIGINT, then moves everyone, answers what is held, and returns. At SIGHUP
// it reads its files again. Either of the two fronts may be absent.
func Run(ctx context.Context, from Sources, signals <-chan os.Signal, log zerolog.Logger) error {
	var c *Config
	var o *Operator
	var err error
	if from.Operator != "" {
		if o, err = ReadOperator(from.Operator); err != nil {
			return err
		}
	}
	if from.Operator == "" || from.Getenv("LB_CONFIG") != "" {
		if c, err = ReadConfig(from.Getenv, log); err != nil {
			return err
		}
	}
	all, err := parts(from, c, log)
	if err != nil {
		return err
	}
	limit(c)
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
		go func() { failed <- <-r.failed }()
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
		o, err := startAdmin(ctx, c.Admin, relays, []admin.Front{{Source: relays[0].x, Classes: classNames(c.Site)}}, all.figures(), log)
		if err != nil {
			return err
		}
		o.serving.Store(true)
	}
	if err := wait(ctx, relays, all, signals, failed, log); err != nil {
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
				leave(r)
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

// wait follows signals until it is time to leave. A file that cannot be used changes nothing.
func wait(ctx context.Context, relays []*runningFront, all partList, signals <-chan os.Signal, failed <-chan error, log zerolog.Logger) error {
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

// room is how many descriptors clients, and their connections to servers, may have; the second address, where it
// is on, holds some of the rest.
func room(sockets int, second bool) int {
	if sockets == 0 {
		return anySockets
	}
	n := sockets - ownSockets - probeSockets - connlimit.MostEvicted
	if second {
		n -= adminSockets
	}
	return n
}

// classNames are the names of the classes, by number.
func classNames(site *relay.Site) []string {
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
	c.Site.Settings.TellsDelay = false
	clock := relay.NewClock()
	servers := &platform.Servers{Clock: clock, ConnectTimeout: relay.Millis(c.Site.Settings.ConnectTimeout), LoadKey: c.Site.LoadKey, Keep: probeSockets}
	x := relay.NewExchange(c.Site, clock, servers)
	x.Log = log.Sample(&zerolog.BurstSampler{Burst: guardLines, Period: time.Second})
	lister := discovery.NewClient(c.Discovery, x, log)
	lister.Pushed = !c.Site.Settings.Ask
	l, inherited, err := listen(c)
	if err != nil {
		return nil, err
	}
	door := connlimit.New(clock, room(c.Sockets, c.Admin != ""), log)
	front := &platform.Front{X: x, Site: c.Site, Gate: door}
	joint := &seam{front: "platform", relay: c.Name, x: x, clock: clock, platform: front, site: c.Site, lister: lister}
	all.join(joint)
	askWithin := 0.0
	if c.Site.Settings.Ask {
		askWithin = relay.Millis(c.Site.Settings.Rules.AskWithin)
	}
	x.HoldList(askWithin)
	x.Members(decide.Cached, c.Known.Entries)
	if inherited && !lister.Pushed { // in an upgrade this relay starts alone: it need not wait for its turn
		lister.Watch()
	}
	go lister.Run(ctx, c.Known.Version)
	core := relay.NewCore(x, c.Seed, lister, log)
	core.Fleet, core.Shared = joint.fleet, joint.shared
	go core.Run(ctx)
	r := &runningFront{x: x, listener: l, inherited: inherited, door: door, failed: make(chan error, 1), longest: longest(c.Site)}
	r.reload = func() error {
		n, err := ReadConfig(from.Getenv, log)
		if err != nil {
			return err
		}
		lister.SetAddress(n.Discovery)
		limit(n)
		door.SetRoom(room(n.Sockets, c.Admin != ""))
		log.Info().Str("discovery", n.Discovery).Int("memory_mb", n.MemoryMB).Int("sockets", n.Sockets).
			Bool("needs_restart", n.Name != c.Name || n.Listen != c.Listen || n.settings != c.settings).Msg("reloaded")
		return nil
	}
	go func() { r.failed <- front.Serve(l) }()
	log.Info().Str("name", c.Name).Str("listen", l.Addr().String()).Bool("inherited", inherited).Int("servers", len(c.Known.Entries)).Msg("serving")
	return r, nil
}

// leave goes on accepting, moves everyone, and sees that whatever is held has its answer before SIGKILL. It ends once
// every connection has been closed from this side, in order: a process that ends over a line that nobody has read, or over
// an answer that the client has not taken, resets the connection, and the client has nothing.
//
// Open connections are served for most of the time there is, and moved evenly over the rest. In a rolling restart
// the relay before this one may be down still: whoever is moved at once finds no relay to come to. And all at
// once they would find every server loaded, as reports are a second old and still count them.
func leave(r *runningFront) {
	r.x.Drain()
	began, span, all := r.x.Clock.Now(), min(r.longest, longestLeave), r.x.MoveSome(0)
	pause := func(ms float64) { <-r.x.Clock.After(ms) }
	for now := began; now < began+span+graceAfter; now = r.x.Clock.Now() {
		n := r.x.MoveSome(0) - staying(all, now-began, span)
		if left := r.x.MoveSome(n); left == 0 && now >= began+leastLeave {
			break
		}
		pause(moveStep)
	}
	r.listener.Close() // nobody comes any more: see leastLeave
	r.x.FailAll()
	r.x.MoveSome(r.x.MoveSome(0))
	r.door.End()
	for r.door.Held() > 0 && r.x.Clock.Now() < began+span+closeAfter {
		pause(closeStep)
	}
}

// staying is how many of all calls may still be there at some point of a leave that takes so long.
func staying(all int, since, span float64) int {
	if span <= 0 { // no class has a deadline: SIGKILL may come 700 ms after SIGTERM
		return 0
	}
	return shareOf(all, (span-since)/(span*(1-holdPart)))
}

// shareOf is the share p of all, rounded up, p held between 0 and 1: how many are still kept at a point of a leave.
func shareOf(all int, p float64) int { return int(math.Ceil(float64(all) * max(0, min(p, 1)))) }
