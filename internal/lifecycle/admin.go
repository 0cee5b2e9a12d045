package lifecycle

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
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
