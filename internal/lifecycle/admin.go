package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"capersail/internal/admin"
	"capersail/internal/manualeject"
)

const (
	// adminSockets are the descriptors the second address may hold; the clients have them less.
	adminSockets = admin.MostConnections
	// lookEvery is how often the bans that another process of the relay may have changed are read, in ms. A ban
	// binds 500 ms after its yes: this leaves four looks and the time to tell the module.
	lookEvery = 100.0
	// drainHold is how long a drain by hand keeps its connections before it moves them, in ms: new connections
	// come for 0.2 s after the first no to PING, and those that come up are moved at once.
	drainHold = 300.0
	// drainBy is when the last of them is moved; at 4 s a connection still held breaks the rule on lost ones.
	drainBy = 2500.0
	// bansFolder is where bans are kept in $TMPDIR, which the processes of one relay share in an upgrade.
	bansFolder = "capersail-bans"
)

// operated is the relay as its operators' second address sees it: every front, the bans, the drain by hand.
type operated struct {
	relays  []*runningFront
	serving atomic.Bool
	dir     string // where bans are kept
	log     zerolog.Logger

	mu       sync.Mutex
	bans     manualeject.Book
	draining chan struct{} // closed to end the drain that moves connections; nil when there is none
}

// startAdmin serves the second address until ctx ends. The bans kept in $TMPDIR by a process that this one
// replaces hold from the start.
func startAdmin(ctx context.Context, address string, relays []*runningFront, fronts []admin.Front, more []prometheus.Collector, log zerolog.Logger) (*operated, error) {
	o := &operated{relays: relays, dir: filepath.Join(os.TempDir(), bansFolder), log: log}
	if err := os.MkdirAll(o.dir, 0o700); err != nil {
		return nil, fmt.Errorf("admin: the bans cannot be kept: %w", err)
	}
	o.look()
	figures := prometheus.NewRegistry()
	for _, c := range append([]prometheus.Collector{admin.NewFigures(fronts...)}, more...) {
		if err := figures.Register(c); err != nil {
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	s, err := admin.Listen(address, o, figures, log)
	if err != nil {
		return nil, err
	}
	// Before anybody else can change the bans: from here on they are read under the lock only.
	log.Info().Str("admin", s.Addr().String()).Strs("out", o.bans.IDs()).Msg("second address")
	go func() {
		if err := s.Serve(); err != nil {
			log.Error().Err(err).Msg("the second address has stopped")
		}
	}()
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	go o.follow(ctx)
	return o, nil
}

// Ready: the front serves, has a list of servers, and neither drains nor leaves.
func (o *operated) Ready() bool {
	if !o.serving.Load() {
		return false
	}
	for _, r := range o.relays {
		if !r.x.Accepting() || !r.x.HasList() {
			return false
		}
	}
	return true
}

// Drain starts or ends a drain by hand. Calling it twice the same way does nothing more.
func (o *operated) Drain(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case on && o.draining == nil:
		o.draining = make(chan struct{})
		for _, r := range o.relays {
			r.x.SetDraining(true)
		}
		go o.moveAll(o.draining)
	case !on && o.draining != nil:
		close(o.draining)
		o.draining = nil
		for _, r := range o.relays {
			r.x.SetDraining(false)
		}
	}
}

// moveAll moves every open connection of a drain, evenly from drainHold to drainBy, unless the drain ends first.
func (o *operated) moveAll(stop <-chan struct{}) {
	if len(o.relays) == 0 {
		return
	}
	clock := o.relays[0].x.Clock
	began := clock.Now()
	all := make([]int, len(o.relays))
	for i, r := range o.relays {
		all[i] = r.x.MoveSome(0)
	}
	for {
		select {
		case <-stop:
			return
		case <-clock.After(moveStep):
		}
		since, left := clock.Now()-began, 0
		for i, r := range o.relays {
			n := r.x.MoveSome(0) - keptBy(all[i], since)
			left += r.x.MoveSome(n)
		}
		if since >= drainBy && left == 0 {
			return // what comes up from now on is moved at once
		}
	}
}

// keptBy is how many of all connections a drain by hand still keeps at some point.
func keptBy(all int, since float64) int {
	return shareOf(all, (drainBy-since)/(drainBy-drainHold))
}

// Down takes a tile server out by hand. The ban is kept, and the module told, before the yes.
func (o *operated) Down(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed, err := o.bans.Down(o.now(), id, o.known(id))
	if err != nil || !changed {
		return err
	}
	if err := os.WriteFile(filepath.Join(o.dir, manualeject.Name(id)), nil, 0o600); err != nil {
		o.bans.Up(id, true)
		return fmt.Errorf("the ban cannot be kept: %w", err)
	}
	o.apply()
	return nil
}

// Up lets a tile server serve again.
func (o *operated) Up(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, _ := o.bans.Since(o.now(), id)
	changed, err := o.bans.Up(id, o.known(id))
	if err != nil || !changed {
		return err
	}
	o.log.Info().Str("server", id).Float64("out_ms", since).Msg("tile server back")
	if err := os.Remove(filepath.Join(o.dir, manualeject.Name(id))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		o.bans.Down(o.now(), id, true)
		return fmt.Errorf("the ban cannot be ended: %w", err)
	}
	o.apply()
	return nil
}

// now is the relay's time, in ms.
func (o *operated) now() float64 { return o.relays[0].x.Clock.Now() }

// known tells whether any front has ever had the server in its list. The caller holds the lock.
func (o *operated) known(id string) bool {
	for _, r := range o.relays {
		if r.x.Known(id) {
			return true
		}
	}
	return false
}

// apply tells every front the bans. The caller holds the lock.
func (o *operated) apply() {
	out := o.bans.Out()
	for _, r := range o.relays {
		r.x.Ban(out)
	}
}

// follow reads the kept bans every lookEvery until ctx ends: another process of the relay may have changed them.
func (o *operated) follow(ctx context.Context) {
	clock := o.relays[0].x.Clock
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(lookEvery):
		}
		o.look()
	}
}

// look reads the kept bans, and tells the fronts if they have changed.
func (o *operated) look() {
	o.mu.Lock() // before the folder is read: a ban of this process's own must not be undone by an older look
	defer o.mu.Unlock()
	entries, err := os.ReadDir(o.dir)
	if err != nil {
		o.log.Error().Err(err).Msg("the bans kept cannot be read; those known stay")
		return
	}
	var ids []string
	for _, e := range entries {
		if id, ok := manualeject.FromName(e.Name()); ok {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	if o.bans.Take(o.now(), ids) {
		o.log.Info().Strs("out", ids).Msg("tile servers out by hand")
		o.apply()
	}
}
