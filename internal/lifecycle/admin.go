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

// adminSockets are the descriptors that the admin address may hold; the clients have them less.
const adminSockets = admin.MaxConnections

// adminRelay is the relay as its operators' admin address sees it: every front, the manual ejections and
// the manual drain.
type adminRelay struct {
	fronts       []*runningFront
	serving      atomic.Bool
	ejectionsDir string // where ejections are kept
	log          zerolog.Logger

	mu            sync.Mutex
	ejections     manualeject.Ejections
	stopMigration chan struct{} // closed to end the drain that migrates connections; nil when there is none
}

// startAdmin serves the admin address until ctx ends. The ejections kept in $TMPDIR by a process that this
// one replaces hold from the start.
func startAdmin(
	ctx context.Context, address string, fronts []*runningFront, sources []admin.Front,
	partMetrics []prometheus.Collector, log zerolog.Logger,
) (*adminRelay, error) {
	o := &adminRelay{fronts: fronts, ejectionsDir: filepath.Join(os.TempDir(), ejectionsFolder), log: log}
	if err := os.MkdirAll(o.ejectionsDir, 0o700); err != nil {
		return nil, fmt.Errorf("admin: ejections cannot be kept: %w", err)
	}
	o.reloadEjections()
	registry, err := newRegistry(sources, partMetrics)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	server, err := admin.Listen(address, o, registry, log)
	if err != nil {
		return nil, err
	}
	// Before anybody else can change the ejections: from here on they are read under the lock only.
	log.Info().
		Str("admin", server.Addr().String()).
		Strs("out", o.ejections.IDs()).
		Msg("admin address serving")
	go func() {
		if err := server.Serve(); err != nil {
			log.Error().Err(err).
				Msg("admin address stopped, clients are served on: restart the relay to have it back")
		}
	}()
	context.AfterFunc(ctx, func() { server.Close() })
	go o.followEjections(ctx)
	return o, nil
}

// newRegistry registers the metrics of the fronts and of the parts.
func newRegistry(sources []admin.Front, partMetrics []prometheus.Collector) (*prometheus.Registry, error) {
	registry := prometheus.NewRegistry()
	for _, collector := range append([]prometheus.Collector{admin.NewCollector(sources...)}, partMetrics...) {
		if err := registry.Register(collector); err != nil {
			return nil, err
		}
	}
	return registry, nil
}

// Ready tells whether the relay serves, has an endpoint list, and neither drains nor shuts down.
func (o *adminRelay) Ready() bool {
	if !o.serving.Load() {
		return false
	}
	for _, front := range o.fronts {
		if !front.requests.AcceptingClients() || !front.requests.HasEndpointList() {
			return false
		}
	}
	return true
}
