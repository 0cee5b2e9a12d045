package lifecycle

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/memory"
	"capersail/internal/wire/discovery"
)

const (
	// handoverFile is where a process on an inherited socket leaves what it knows of the servers, in $TMPDIR, for
	// the process that replaces it.
	handoverFile = "capersail-handover.json"
	// handoverEvery is how often it is written, in ms. The new process starts while the old one serves.
	handoverEvery = 1000.0
	// handoverFresh is how old a hand-over may be to be taken, in ms: an older one may say what discovery has
	// long changed, and the configuration's list is no worse.
	handoverFresh = 10_000.0
)

// handover is the file's form: the list in discovery's form, with the writer's name and time.
type handover struct {
	Name      string          `json:"name"`
	WrittenMs float64         `json:"writtenMs"` // Unix time
	Instances []handoverEntry `json:"instances"`
	Reset     bool            `json:"reset"`
}

type handoverEntry struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int32   `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Started   float64 `json:"startedAtMs"`
	Resumes   bool    `json:"resumes,omitempty"`
}

// writeHandover writes the list atomically: a whole file or none, whatever moment the new process reads it.
func writeHandover(path, name string, now time.Time, list []memory.Listed) error {
	h := handover{Name: name, WrittenMs: float64(now.UnixMilli()), Reset: true, Instances: []handoverEntry{}}
	for _, l := range list {
		mode := "Ready"
		if l.Mode == decide.Draining {
			mode = "Terminating"
		}
		h.Instances = append(h.Instances, handoverEntry{ID: l.ID, HostPort: l.Address, Zone: l.Zone, Cell: l.Cell,
			Lifecycle: mode, Started: l.Started, Resumes: l.Resumes})
	}
	text, err := json.Marshal(h)
	if err != nil {
		return err
	}
	temp := path + ".new"
	if err := os.WriteFile(temp, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temp, path)
}

// readHandover reads a hand-over for the relay of that name. Nil, with the reason, if there is none to take.
func readHandover(path, name string, now time.Time, log zerolog.Logger) (*discovery.List, string) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, "none"
	}
	if err != nil {
		return nil, err.Error()
	}
	var h struct {
		Name      string  `json:"name"`
		WrittenMs float64 `json:"writtenMs"`
	}
	if err := json.Unmarshal(text, &h); err != nil {
		return nil, fmt.Sprintf("corrupt: %v", err)
	}
	if h.Name != name {
		return nil, fmt.Sprintf("of relay %q", h.Name)
	}
	if age := float64(now.UnixMilli()) - h.WrittenMs; age > handoverFresh || age < -handoverFresh {
		return nil, fmt.Sprintf("stale: written %.0f ms ago", age)
	}
	list, err := discovery.Parse(string(text), log)
	if err != nil {
		return nil, fmt.Sprintf("corrupt: %v", err)
	}
	if len(list.Entries) == 0 {
		return nil, "empty"
	}
	return list, ""
}

// takeHandover puts the list that the process before this one left in place of the configuration's, where it is
// newer. One log line says what was taken, or why nothing was: the relay then starts as after a cold start.
func takeHandover(c *Config, log zerolog.Logger) string {
	path := filepath.Join(os.TempDir(), handoverFile)
	list, why := readHandover(path, c.Name, time.Now(), log)
	if list == nil {
		log.Info().Str("handover", path).Str("why", why).Msg("no hand-over taken; starting from the configuration's list")
		return path
	}
	c.Known = &discovery.List{Version: 0, Full: true, Entries: list.Entries} // the watch asks for the whole list
	log.Info().Str("handover", path).Int("servers", len(list.Entries)).Msg("hand-over taken")
	return path
}

// keepHandover writes the list every handoverEvery until ctx ends.
func keepHandover(ctx context.Context, path, name string, x *memory.Exchange, log zerolog.Logger) {
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.Clock.After(handoverEvery):
		}
		if err := writeHandover(path, name, time.Now(), x.Listing()); err != nil && !failed {
			failed = true
			log.Error().Err(err).Msg("the hand-over cannot be written")
		}
	}
}
