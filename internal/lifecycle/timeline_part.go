package lifecycle

import (
	"context"
	"fmt"
	"os"
	"sync"

	"github.com/rs/zerolog"

	"capersail/internal/control"
	"capersail/internal/fleet/membership"
	"capersail/internal/observe/timeline"
	"capersail/internal/observe/watch"
	"capersail/internal/store"
)

// timelinePart is time lines as a part.
func timelinePart(path string, _ *Config, log zerolog.Logger) (*part, error) {
	t, err := ReadTimelineConfig(path)
	if err != nil {
		return nil, err
	}
	log = log.With().Str("part", "timeline").Logger()
	var watchers []*watch.Watcher
	var stores []*store.Store
	var door *control.Server
	var running sync.WaitGroup
	started := false
	ctx, end := context.WithCancel(context.Background()) // of their own: what comes last is folded and written too
	return &part{
		name: "timeline",
		join: func(s *frontSeam) {
			c := watch.Config{Relay: s.relay, Buffer: t.Buffer, Limits: timeline.DefaultLimits(), Most: t.Servers}
			c.Limits.MaxServers = t.Servers
			if s.platform == nil {
				c.Relay = s.front
			}
			if t.Store != "" {
				file := t.Store
				if len(stores) > 0 { // each front has servers of its own
					file += "." + s.front
				}
				one, err := store.Open(file, t.options(), log)
				if err != nil { // time lines are no reason not to serve
					log.Error().Err(err).Msg("store cannot be opened; going on in memory")
				}
				stores = append(stores, one)
				c.Store = one
			}
			w := watch.New(c, s.requests, s.clock, log)
			s.requests.Recorder = w.Recorder
			watchers = append(watchers, w)
			s.changeListeners = append(s.changeListeners, func(m membership.Changed) { w.Note(m.Name, m.State, m.Cause) })
		},
		start: func(context.Context) error {
			started = true
			for _, s := range stores {
				running.Go(func() { s.Run(ctx) })
			}
			var folding sync.WaitGroup
			for _, w := range watchers {
				folding.Go(func() { w.Run(ctx) })
			}
			running.Go(folding.Wait)
			if t.Socket == "" {
				return nil
			}
			if door, err = control.Listen(t.Socket, control.Sources{Watchers: watchers}, log); err != nil {
				return fmt.Errorf("%s: socket: %w", path, err)
			}
			return nil
		},
		stop: func() {
			if !started {
				end()
				return
			}
			if door != nil {
				door.Close()
				os.Remove(t.Socket)
			}
			for _, w := range watchers {
				w.Fold()
				w.Rest()
			}
			for _, s := range stores {
				s.Flush()
			}
			end()
			running.Wait()
		},
	}, nil
}
