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
	adminSockets = admin.MaxConnections
	// ejectionPollInterval is how often the bans that another process of the relay may have changed are read, in ms. A ban
	// binds 500 ms after its yes: this leaves four looks and the time to tell the module.
	ejectionPollInterval = 100.0
	// migrationDelay is how long a drain by hand keeps its connections before it moves them, in ms: new connections
	// come for 0.2 s after the first no to PING, and those that come up are moved at once.
	migrationDelay = 300.0
	// migrationDeadline is when the last of them is moved; at 4 s a connection still held breaks the rule on lost ones.
	migrationDeadline = 2500.0
	// ejectionsFolder is where bans are kept in $TMPDIR, which the processes of one relay share in an upgrade.
	ejectionsFolder = "capersail-bans"
)

// adminTarget is the relay as its operators' second address sees it: every front, the bans, the drain by hand.
type adminTarget struct {
	fronts       []*runningFront
	serving      atomic.Bool
	ejectionsDir string // where bans are kept
	log          zerolog.Logger

	mu            sync.Mutex
	ejections     manualeject.Ejections
	stopMigration chan struct{} // closed to end the drain that moves connections; nil when there is none
}

// startAdmin serves the second address until ctx ends. The bans kept in $TMPDIR by a process that this one
// replaces hold from the start.
func startAdmin(ctx context.Context, address string, relays []*runningFront, fronts []admin.Front, more []prometheus.Collector, log zerolog.Logger) (*adminTarget, error) {
	o := &adminTarget{fronts: relays, ejectionsDir: filepath.Join(os.TempDir(), ejectionsFolder), log: log}
	if err := os.MkdirAll(o.ejectionsDir, 0o700); err != nil {
		return nil, fmt.Errorf("admin: the bans cannot be kept: %w", err)
	}
	o.reloadEjections()
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
	log.Info().Str("admin", s.Addr().String()).Strs("out", o.ejections.IDs()).Msg("second address")
	go func() {
		if err := s.Serve(); err != nil {
			log.Error().Err(err).Msg("the second address has stopped")
		}
	}()
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	go o.followEjections(ctx)
	return o, nil
}

// Ready: the front serves, has a list of servers, and neither drains nor leaves.
func (o *adminTarget) Ready() bool {
	if !o.serving.Load() {
		return false
	}
	for _, r := range o.fronts {
		if !r.requests.Accepting() || !r.requests.HasEndpointList() {
			return false
		}
	}
	return true
}

// Drain starts or ends a drain by hand. Calling it twice the same way does nothing more.
func (o *adminTarget) Drain(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case on && o.stopMigration == nil:
		o.stopMigration = make(chan struct{})
		for _, r := range o.fronts {
			r.requests.SetDraining(true)
		}
		go o.migrateConnections(o.stopMigration)
	case !on && o.stopMigration != nil:
		close(o.stopMigration)
		o.stopMigration = nil
		for _, r := range o.fronts {
			r.requests.SetDraining(false)
		}
	}
}

// migrateConnections moves every open connection of a drain, evenly from drainHold to drainBy, unless the drain ends first.
func (o *adminTarget) migrateConnections(stop <-chan struct{}) {
	if len(o.fronts) == 0 {
		return
	}
	clock := o.fronts[0].requests.Clock
	began := clock.NowMillis()
	all := make([]int, len(o.fronts))
	for i, r := range o.fronts {
		all[i] = r.requests.MigrateSome(0)
	}
	for {
		select {
		case <-stop:
			return
		case <-clock.AfterMillis(migrationInterval):
		}
		since, left := clock.NowMillis()-began, 0
		for i, r := range o.fronts {
			n := r.requests.MigrateSome(0) - keptDuringDrain(all[i], since)
			left += r.requests.MigrateSome(n)
		}
		if since >= migrationDeadline && left == 0 {
			return // what comes up from now on is moved at once
		}
	}
}

// keptDuringDrain is how many of all connections a drain by hand still keeps at some point.
func keptDuringDrain(all int, since float64) int {
	return fractionOf(all, (migrationDeadline-since)/(migrationDeadline-migrationDelay))
}

// Eject takes a tile server out by hand. The ban is kept, and the module told, before the yes.
func (o *adminTarget) Eject(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed, err := o.ejections.Eject(o.now(), id, o.knowsServer(id))
	if err != nil || !changed {
		return err
	}
	if err := os.WriteFile(filepath.Join(o.ejectionsDir, manualeject.FileName(id)), nil, 0o600); err != nil {
		o.ejections.Readmit(id, true)
		return fmt.Errorf("the ban cannot be kept: %w", err)
	}
	o.applyEjections()
	return nil
}

// Readmit lets a tile server serve again.
func (o *adminTarget) Readmit(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, _ := o.ejections.EjectedFor(o.now(), id)
	changed, err := o.ejections.Readmit(id, o.knowsServer(id))
	if err != nil || !changed {
		return err
	}
	o.log.Info().Str("server", id).Float64("out_ms", since).Msg("tile server back")
	if err := os.Remove(filepath.Join(o.ejectionsDir, manualeject.FileName(id))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		o.ejections.Eject(o.now(), id, true)
		return fmt.Errorf("the ban cannot be ended: %w", err)
	}
	o.applyEjections()
	return nil
}

// now is the relay's time, in ms.
func (o *adminTarget) now() float64 { return o.fronts[0].requests.Clock.NowMillis() }

// knowsServer tells whether any front has ever had the server in its list. The caller holds the lock.
func (o *adminTarget) knowsServer(id string) bool {
	for _, r := range o.fronts {
		if r.requests.EverListed(id) {
			return true
		}
	}
	return false
}

// applyEjections tells every front the bans. The caller holds the lock.
func (o *adminTarget) applyEjections() {
	out := o.ejections.Set()
	for _, r := range o.fronts {
		r.requests.SetManualEjections(out)
	}
}

// followEjections reads the kept bans every lookEvery until ctx ends: another process of the relay may have changed them.
func (o *adminTarget) followEjections(ctx context.Context) {
	clock := o.fronts[0].requests.Clock
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.AfterMillis(ejectionPollInterval):
		}
		o.reloadEjections()
	}
}

// reloadEjections reads the kept bans, and tells the fronts if they have changed.
func (o *adminTarget) reloadEjections() {
	o.mu.Lock() // before the folder is read: a ban of this process's own must not be undone by an older look
	defer o.mu.Unlock()
	entries, err := os.ReadDir(o.ejectionsDir)
	if err != nil {
		o.log.Error().Err(err).Msg("the bans kept cannot be read; those known stay")
		return
	}
	var ids []string
	for _, e := range entries {
		if id, ok := manualeject.IDFromFileName(e.Name()); ok {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	if o.ejections.Replace(o.now(), ids) {
		o.log.Info().Strs("out", ids).Msg("tile servers out by hand")
		o.applyEjections()
	}
}
