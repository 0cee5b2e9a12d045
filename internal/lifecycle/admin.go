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

// adminSockets is the number of descriptors reserved for the admin address. They are not available to
// clients.
const adminSockets = admin.MaxConnections

// adminRelay is the relay as the admin address controls it: all fronts, the manual ejections and the manual
// drain.
type adminRelay struct {
	fronts       []*runningFront
	serving      atomic.Bool
	ejectionsDir string // the folder in which ejections are stored
	log          zerolog.Logger

	mu            sync.Mutex
	ejections     manualeject.Ejections
	stopMigration chan struct{} // closed to end the migration of a manual drain; nil without a drain
}

// startAdmin serves the admin address until ctx ends. Ejections that the process replaced by this one has
// stored in $TMPDIR are in force from the start.
func startAdmin(
	ctx context.Context, address string, fronts []*runningFront, sources []admin.Front,
	partMetrics []prometheus.Collector, log zerolog.Logger,
) (*adminRelay, error) {
	a := &adminRelay{fronts: fronts, ejectionsDir: filepath.Join(os.TempDir(), ejectionsFolder), log: log}
	if err := os.MkdirAll(a.ejectionsDir, 0o700); err != nil {
		return nil, fmt.Errorf("admin: cannot create the folder for ejections in $TMPDIR: %w", err)
	}
	a.reloadEjections()
	registry, err := newRegistry(sources, partMetrics)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	server, err := admin.Listen(address, a, registry, log)
	if err != nil {
		return nil, err
	}
	// The ejections are read without the lock here, which is safe only until the server accepts calls.
	log.Info().
		Str("admin", server.Addr().String()).
		Strs("out", a.ejections.IDs()).
		Msg("admin address serving")
	go func() {
		if err := server.Serve(); err != nil {
			log.Error().Err(err).
				Msg("admin address stopped, clients are still served: restart the relay to restore it")
		}
	}()
	context.AfterFunc(ctx, func() { server.Close() })
	go a.followEjections(ctx)
	return a, nil
}

// newRegistry returns a registry with the metrics of the fronts and of the parts.
func newRegistry(sources []admin.Front, partMetrics []prometheus.Collector) (*prometheus.Registry, error) {
	registry := prometheus.NewRegistry()
	for _, collector := range append([]prometheus.Collector{admin.NewCollector(sources...)}, partMetrics...) {
		if err := registry.Register(collector); err != nil {
			return nil, err
		}
	}
	return registry, nil
}

// Ready reports whether the relay serves, has an endpoint list, and is neither draining nor shutting down.
func (a *adminRelay) Ready() bool {
	if !a.serving.Load() {
		return false
	}
	for _, front := range a.fronts {
		if !front.requests.AcceptingClients() || !front.requests.HasEndpointList() {
			return false
		}
	}
	return true
}
