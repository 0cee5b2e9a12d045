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
	o.log.Info().Str("server", id).Float64("out_ms", relay.Millis(since)).Msg("tile server back")
	if err := os.Remove(filepath.Join(o.ejectionsDir, manualeject.FileName(id))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		o.ejections.Eject(o.now(), id, true)
		return fmt.Errorf("the ban cannot be ended: %w", err)
	}
	o.applyEjections()
	return nil
}

// now returns the instant on the relay's clock.
func (o *adminTarget) now() time.Duration { return o.fronts[0].requests.Clock.Now() }

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
