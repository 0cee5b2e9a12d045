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
	// ejectionPollInterval is how often the ejections that another process of the relay may have changed are
	// read. An ejection must be in force 500 ms after its call is answered: this leaves four readings
	// and the time for the decision module to act.
	ejectionPollInterval = 100 * time.Millisecond
	// ejectionsFolder is where ejections are kept in $TMPDIR, which the processes of one relay share in an
	// upgrade.
	ejectionsFolder = "capersail-bans"
)

// Eject ejects a server manually. The ejection is stored, and the decision module notified, before it
// returns.
func (o *adminRelay) Eject(id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed, err := o.ejections.Eject(o.now(), id, o.knowsServer(id))
	if err != nil || !changed {
		return err
	}
	if err := os.WriteFile(o.ejectionFile(id), nil, 0o600); err != nil {
		o.ejections.Readmit(id, true)
		return fmt.Errorf("ejection cannot be kept: %w", err)
	}
	o.applyEjections()
	return nil
}

// Readmit readmits a server that was ejected manually.
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
		return fmt.Errorf("ejection cannot be ended: %w", err)
	}
	o.applyEjections()
	return nil
}

// ejectionFile is where a server's ejection is kept.
func (o *adminRelay) ejectionFile(id string) string {
	return filepath.Join(o.ejectionsDir, manualeject.FileName(id))
}

// now is the instant on the relay's clock.
func (o *adminRelay) now() time.Duration { return o.fronts[0].requests.Clock.Now() }

// knowsServer tells whether any front has ever had the server in its endpoint list. The caller holds the
// lock.
func (o *adminRelay) knowsServer(id string) bool {
	for _, front := range o.fronts {
		if front.requests.EverListed(id) {
			return true
		}
	}
	return false
}

// applyEjections hands the ejections to every front. The caller holds the lock.
func (o *adminRelay) applyEjections() {
	ejected := o.ejections.IDSet()
	for _, front := range o.fronts {
		front.requests.SetManualEjections(ejected)
	}
}

// followEjections reads the kept ejections every ejectionPollInterval until ctx ends: another process of the
// relay may have changed them.
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

// reloadEjections reads the stored ejections, and hands them to the fronts if they have changed.
func (o *adminRelay) reloadEjections() {
	// Before the folder is read: an ejection of this process's own must not be undone by an older reading.
	o.mu.Lock()
	defer o.mu.Unlock()
	entries, err := os.ReadDir(o.ejectionsDir)
	if err != nil {
		o.log.Error().Err(err).
			Msg("manual ejections cannot be read, those known stay in force: mend the folder in $TMPDIR")
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
