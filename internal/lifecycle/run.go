package lifecycle

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"

	"os/signal"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/memory"
	"capersail/internal/wire/discovery"
	"capersail/internal/wire/platform"
)

const (
	// spareSockets are descriptors that serve no client: the runtime's, discovery's, a probe's for each server.
	spareSockets = 96
	moveOver     = 1500.0 // open connections are moved over this time, so that their clients do not return at once
	moveStep     = 50.0
	graceAfter   = 300.0 // after the longest deadline; SIGKILL comes 700 ms after it at the earliest
	leastLeave   = 700.0 // new connections go on coming for up to 400 ms after SIGTERM
)

// limit fits the runtime into the machine: one core, and a heap that stays under the memory limit, which the
// kernel enforces by killing the relay.
func limit(c *Config) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(200)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	}
}

// Run serves until SIGTERM or SIGINT, then moves everyone, answers what is held, and returns.
func Run(ctx context.Context, c *Config, log zerolog.Logger) error {
	limit(c)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)

	// The simulator's note of slow messages has no line on the sockets: under a load of 1.3 the clients' own
	// lines still come back within 0.3 ms. The module is to know that a reading is all it will get.
	c.Site.Settings.TellsDelay = false
	clock := memory.NewClock()
	servers := &platform.Servers{Clock: clock, ConnectTimeout: memory.Millis(c.Site.Settings.ConnectTimeout), LoadKey: c.Site.LoadKey}
	x := memory.NewExchange(c.Site, clock, servers)
	x.Members(decide.Cached, c.Known.Entries)
	lister := discovery.NewClient(c.Discovery, x, log)
	core := memory.NewCore(x, c.Seed, lister, log)
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer l.Close()
	room := int64(1 << 20)
	if c.Sockets > 0 {
		room = int64(max(c.Sockets-spareSockets, 2) / 2)
	}
	front := &platform.Front{X: x, Site: c.Site, Log: log, Room: room}
	go lister.Run(ctx, c.Known.Version)
	go core.Run(ctx)
	failed := make(chan error, 1)
	go func() { failed <- front.Serve(l) }()
	log.Info().Str("name", c.Name).Str("listen", c.Listen).Int("servers", len(c.Known.Entries)).Msg("serving")
	select {
	case s := <-signals:
		log.Info().Str("signal", s.String()).Msg("leaving")
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("accept: %w", err)
	}
	leave(x, c)
	log.Info().Msg("done")
	return nil
}

// leave goes on accepting, moves everyone, and sees that whatever is held has its answer before SIGKILL.
func leave(x *memory.Exchange, c *Config) {
	longest := 0.0
	for _, class := range c.Site.Settings.Classes {
		longest = max(longest, memory.Millis(class.Deadline))
	}
	longest = min(longest, 3000)
	x.Drain()
	began := x.Clock.Now()
	pause := func(ms float64) { <-x.Clock.After(ms) }
	left := x.MoveSome(0)
	each := int(float64(left)*moveStep/moveOver) + 1
	for x.Clock.Now() < began+longest+graceAfter {
		left = x.MoveSome(each)
		if left == 0 && x.Clock.Now() >= began+leastLeave {
			break
		}
		pause(moveStep)
	}
	x.FailAll()
	x.MoveSome(left)
	pause(moveStep)
}
