package lifecycle

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"capersail/internal/control"
	"capersail/internal/fleet/membership"
	"capersail/internal/observe/timeline"
	"capersail/internal/observe/watch"
	"capersail/internal/store"
)

// timelinePart records the timelines of servers. It joins every front.
type timelinePart struct {
	partDefaults
	path   string
	config *TimelineConfig
	log    zerolog.Logger

	watchers   []*watch.Watcher // one per front
	stores     []*store.Store   // one per front; empty without a store
	control    controlSocket
	upgrade    bool // the process that this one replaces may still run
	goroutines sync.WaitGroup
	cancel     context.CancelFunc // stops the watchers and stores; nil before start
}

func newTimelinePart(path string, _ *Config, log zerolog.Logger) (part, error) {
	config, err := ReadTimelineConfig(path)
	if err != nil {
		return nil, err
	}
	return &timelinePart{path: path, config: config, log: log.With().Str("part", "timeline").Logger()}, nil
}

func (p *timelinePart) name() string { return "timeline" }

func (p *timelinePart) join(front *frontHooks) {
	c := watch.Config{
		RelayName:    front.relayName,
		RecordBuffer: p.config.BufferRecords,
		Limits:       timeline.DefaultLimits(),
		MaxServers:   p.config.MaxServers,
	}
	c.Limits.MaxServers = p.config.MaxServers
	if front.platform == nil {
		c.RelayName = front.frontName
	}
	if p.config.StoreFile != "" {
		c.Store = p.openStore(front)
	}
	p.upgrade = p.upgrade || front.upgrade
	watcher := watch.New(c, front.requests, front.clock, p.log)
	front.requests.Recorder = watcher.Recorder
	p.watchers = append(p.watchers, watcher)
	front.changeListeners = append(front.changeListeners, func(change membership.StateChanged) {
		watcher.RecordRelayChange(change.Name, change.State, change.Cause)
	})
}

// openStore opens the store of a front. Each front has its own servers, and thus its own file. If the store
// cannot be opened, the relay still serves.
func (p *timelinePart) openStore(front *frontHooks) *store.Store {
	file := p.config.StoreFile
	if len(p.stores) > 0 {
		file += "." + front.frontName
	}
	opened, err := store.Open(file, p.config.options(), p.log)
	if err != nil {
		p.log.Error().Err(err).
			Msg("store not opened, timelines stay in memory, open is retried: correct the file")
	}
	p.stores = append(p.stores, opened)
	return opened
}

// start runs the watchers and stores in a context of their own, so that the last records are folded and
// written as well.
func (p *timelinePart) start(context.Context) error {
	ctx, end := context.WithCancel(context.Background())
	p.cancel = end
	for _, s := range p.stores {
		p.goroutines.Go(func() { s.Run(ctx) })
	}
	for _, w := range p.watchers {
		p.goroutines.Go(func() { w.Run(ctx) })
	}
	if p.config.ControlSocket == "" {
		return nil
	}
	sources := control.Sources{Watchers: p.watchers}
	if err := p.control.start(p.config.ControlSocket, sources, p.upgrade, p.log); err != nil {
		return &ConfigError{File: p.path, Key: "socket", Err: err}
	}
	return nil
}

func (p *timelinePart) stop() {
	if p.cancel == nil {
		return
	}
	p.control.stop()
	for _, w := range p.watchers {
		w.ApplyRecords()
		w.WriteOpenRows()
	}
	for _, s := range p.stores {
		s.Flush()
	}
	p.cancel()
	p.goroutines.Wait()
}
