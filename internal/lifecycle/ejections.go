package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"time"

	"capersail/internal/manualeject"
	"capersail/internal/relay"
)

const (
	// ejectionPollInterval is the interval at which the stored ejections are read, as another process of the
	// relay may have changed them. An ejection has to be in force 500 ms after its call is answered: the
	// interval allows for four reads and the time that the decision module needs.
	ejectionPollInterval = 100 * time.Millisecond
	// ejectionsFolder is the folder below $TMPDIR in which ejections are stored. The processes of one relay
	// share $TMPDIR during an upgrade.
	ejectionsFolder = "capersail-bans"
)

// Eject ejects a server manually. It stores the ejection and notifies the decision module before it returns.
func (a *adminRelay) Eject(id string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed, err := a.ejections.Eject(a.now(), id, a.knowsServer(id))
	if err != nil || !changed {
		return err
	}
	if err := os.WriteFile(a.ejectionFile(id), nil, 0o600); err != nil {
		a.ejections.Readmit(id, true)
		return fmt.Errorf("ejection not stored: %w", err)
	}
	a.applyEjections()
	return nil
}

// Readmit ends the manual ejection of a server. It removes the stored ejection and notifies the decision
// module before it returns.
func (a *adminRelay) Readmit(id string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	ejectedFor, _ := a.ejections.EjectedFor(a.now(), id)
	changed, err := a.ejections.Readmit(id, a.knowsServer(id))
	if err != nil || !changed {
		return err
	}
	a.log.Info().
		Str("server", id).
		Float64("out_ms", relay.Millis(ejectedFor)).
		Msg("manual ejection ended, server readmitted")
	if err := os.Remove(a.ejectionFile(id)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		a.ejections.Eject(a.now(), id, true)
		return fmt.Errorf("ejection not ended, its file cannot be removed: %w", err)
	}
	a.applyEjections()
	return nil
}

// ejectionFile returns the path of the file that stores a server's ejection.
func (a *adminRelay) ejectionFile(id string) string {
	return filepath.Join(a.ejectionsDir, manualeject.FileName(id))
}

// now returns the time on the clock of the first front.
func (a *adminRelay) now() time.Duration { return a.fronts[0].requests.Clock.Now() }

// knowsServer reports whether any front has ever had the server in its endpoint list. The caller holds the
// lock.
func (a *adminRelay) knowsServer(id string) bool {
	for _, front := range a.fronts {
		if front.requests.EverListed(id) {
			return true
		}
	}
	return false
}

// applyEjections passes the ejections to every front. The caller holds the lock.
func (a *adminRelay) applyEjections() {
	ejected := a.ejections.IDSet()
	for _, front := range a.fronts {
		front.requests.SetManualEjections(ejected)
	}
}

// followEjections reads the stored ejections every ejectionPollInterval until ctx ends, as another process of
// the relay may have changed them.
func (a *adminRelay) followEjections(ctx context.Context) {
	clock := a.fronts[0].requests.Clock
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(ejectionPollInterval):
		}
		a.reloadEjections()
	}
}

// reloadEjections reads the stored ejections, and passes them to the fronts if they have changed.
func (a *adminRelay) reloadEjections() {
	// The lock is taken before the folder is read. Otherwise an ejection that this process stores meanwhile
	// would be undone by the older content.
	a.mu.Lock()
	defer a.mu.Unlock()
	entries, err := os.ReadDir(a.ejectionsDir)
	if err != nil {
		a.log.Error().Err(err).
			Msg("manual ejections not read, known ones stay: make capersail-bans in $TMPDIR readable")
		return
	}
	var ids []string
	for _, entry := range entries {
		if id, ok := manualeject.IDFromFileName(entry.Name()); ok {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	if a.ejections.Replace(a.now(), ids) {
		a.log.Info().Strs("out", ids).Msg("manual ejections changed")
		a.applyEjections()
	}
}
