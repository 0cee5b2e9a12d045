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
func (o *adminRelay) Eject(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed, err := o.ejections.Eject(o.now(), id, o.knowsServer(id))
	if err != nil || !changed {
		return err
	}
	if err := os.WriteFile(o.ejectionFile(id), nil, 0o600); err != nil {
		o.ejections.Readmit(id, true)
		return fmt.Errorf("ejection not stored: %w", err)
	}
	o.applyEjections()
	return nil
}

// Readmit ends the manual ejection of a server. It removes the stored ejection and notifies the decision
// module before it returns.
func (o *adminRelay) Readmit(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	ejectedFor, _ := o.ejections.EjectedFor(o.now(), id)
	changed, err := o.ejections.Readmit(id, o.knowsServer(id))
	if err != nil || !changed {
		return err
	}
	o.log.Info().
		Str("server", id).
		Float64("out_ms", relay.Millis(ejectedFor)).
		Msg("manual ejection ended, server readmitted")
	if err := os.Remove(o.ejectionFile(id)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		o.ejections.Eject(o.now(), id, true)
		return fmt.Errorf("ejection not ended, its file cannot be removed: %w", err)
	}
	o.applyEjections()
	return nil
}

// ejectionFile returns the path of the file that stores a server's ejection.
func (o *adminRelay) ejectionFile(id string) string {
	return filepath.Join(o.ejectionsDir, manualeject.FileName(id))
}

// now returns the time on the clock of the first front.
func (o *adminRelay) now() time.Duration { return o.fronts[0].requests.Clock.Now() }

// knowsServer reports whether any front has ever had the server in its endpoint list. The caller holds the
// lock.
func (o *adminRelay) knowsServer(id string) bool {
	for _, front := range o.fronts {
		if front.requests.EverListed(id) {
			return true
		}
	}
	return false
}

// applyEjections passes the ejections to every front. The caller holds the lock.
func (o *adminRelay) applyEjections() {
	ejected := o.ejections.IDSet()
	for _, front := range o.fronts {
		front.requests.SetManualEjections(ejected)
	}
}

// followEjections reads the stored ejections every ejectionPollInterval until ctx ends, as another process of
// the relay may have changed them.
func (o *adminRelay) followEjections(ctx context.Context) {
	clock := o.fronts[0].requests.Clock
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(ejectionPollInterval):
		}
		o.reloadEjections()
	}
}

// reloadEjections reads the stored ejections, and passes them to the fronts if they have changed.
func (o *adminRelay) reloadEjections() {
	// The lock is taken before the folder is read. Otherwise an ejection that this process stores meanwhile
	// would be undone by the older content.
	o.mu.Lock()
	defer o.mu.Unlock()
	entries, err := os.ReadDir(o.ejectionsDir)
	if err != nil {
		o.log.Error().Err(err).
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
	if o.ejections.Replace(o.now(), ids) {
		o.log.Info().Strs("out", ids).Msg("manual ejections changed")
		o.applyEjections()
	}
}
