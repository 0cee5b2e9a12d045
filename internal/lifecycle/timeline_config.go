package lifecycle

import (
	"path/filepath"
	"time"

	"capersail/internal/store"
)

// TimelineConfig is the operator's file for the timelines of servers. The keys are described in
// deploy/timeline.toml.
type TimelineConfig struct {
	ControlSocket string `toml:"socket"`
	StoreFile     string `toml:"store"`
	StoreMB       int64  `toml:"store_mb"`
	StoreHours    int64  `toml:"store_hours"`
	BufferRecords int    `toml:"buffer"`
	MaxServers    int    `toml:"servers"`
}

// ReadTimelineConfig reads and checks the file. The error joins a *ConfigError for each problem.
func ReadTimelineConfig(path string) (*TimelineConfig, error) {
	t := &TimelineConfig{StoreMB: 256, StoreHours: 72, BufferRecords: 8192, MaxServers: 512}
	problems, err := decodeFile(path, t)
	if err != nil {
		return nil, err
	}
	checkSocket(problems, t.ControlSocket)
	problems.addIf(t.StoreFile != "" && !filepath.IsAbs(t.StoreFile), "store",
		"%q is not an absolute path", t.StoreFile)
	problems.addIf(t.StoreMB < 4 || t.StoreMB > 1<<20, "store_mb", "want 4 to 1048576")
	problems.addIf(t.StoreHours < 1 || t.StoreHours > 24*366, "store_hours", "want 1 to 8784")
	problems.addIf(t.BufferRecords < 64 || t.BufferRecords > 1<<20, "buffer", "want 64 to 1048576 records")
	problems.addIf(t.MaxServers < 1 || t.MaxServers > 100_000, "servers", "want 1 to 100000")
	return t, problems.err()
}

// options returns the limits of the store.
func (t *TimelineConfig) options() store.Options {
	return store.Options{MaxBytes: t.StoreMB << 20, MaxAge: time.Duration(t.StoreHours) * time.Hour}
}
