package lifecycle

import (
	"context"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"capersail/internal/fleet/membership"
	"capersail/internal/relay"
	"capersail/internal/wire/discovery"
	"capersail/internal/wire/platform"
)

// part is a subsystem beside the fronts, with an operator's file of its own. Its settings are read and
// checked before there is a part at all (readParts). The methods are called in the order in which they stand,
// each once; reload any number of times between start and leave.
type part interface {
	// name is for the log and for errors.
	name() string
	// join adds the part to a front, before that serves.
	join(front *frontHooks)
	// start begins the part's work, once all fronts are joined. What it starts ends in stop, whatever becomes
	// of ctx.
	start(ctx context.Context) error
	// metrics are shown on the admin address, where that is on.
	metrics() []prometheus.Collector
	// reload reads the file again and checks it. Nothing has changed before apply is called, or if it fails;
	// a nil apply stands for a part that cannot change while the relay runs.
	reload() (apply func(), err error)
	// leave follows the shutdown of the fronts.
	leave()
	// stop ends the part, at the very end; also one that was never started.
	stop()
}

// partDefaults is what a part has in common that only joins and starts, to be embedded.
type partDefaults struct{}

func (partDefaults) metrics() []prometheus.Collector { return nil }
func (partDefaults) reload() (func(), error)         { return nil, nil }
func (partDefaults) leave()                          {}
func (partDefaults) stop()                           {}

// errNeedsPlatform is a part's file without the platform's front, which alone does such a thing.
func errNeedsPlatform(path, only string) error {
	return fmt.Errorf("%s: LB_CONFIG is not set: only %s", path, only)
}

// frontHooks is a front as a part may join it.
type frontHooks struct {
	frontName       string
	relayName       string // the relay's name
	requests        *relay.RequestTable
	clock           *relay.Clock
	platform        *platform.Frontend      // nil for other fronts
	discovery       *discovery.Client       // nil for other fronts
	fleet           relay.FleetStatusSource // a part's to set; nil where relays do not know each other
	sharedProbing   *relay.SharedProbing    // the same; nil where each probes servers for itself
	changeListeners []func(membership.StateChanged)
}

// notifyChange hands a change in the fleet to the parts that listen.
func (s *frontHooks) notifyChange(change membership.StateChanged) {
	for _, listen := range s.changeListeners {
		listen(change)
	}
}

// partList is the parts that are on.
type partList []part

// readParts reads the files of all parts that are on. It is the one place where the parts are listed.
func readParts(sources Sources, c *Config, log zerolog.Logger) (all partList, err error) {
	for _, kind := range []struct {
		file string
		read func(path string, c *Config, log zerolog.Logger) (part, error)
	}{
		{sources.Resume, newResumePart},
		{sources.Timeline, newTimelinePart},
		{sources.Members, newMembersPart},
	} {
		if kind.file == "" {
			continue
		}
		one, err := kind.read(kind.file, c, log)
		if err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, nil
}

func (all partList) join(front *frontHooks) {
	for _, p := range all {
		p.join(front)
	}
}

// start starts the parts in their order, up to the first that fails.
func (all partList) start(ctx context.Context) error {
	for _, p := range all {
		if err := p.start(ctx); err != nil {
			return fmt.Errorf("%s: %w", p.name(), err)
		}
	}
	return nil
}

func (all partList) metrics() (out []prometheus.Collector) {
	for _, p := range all {
		out = append(out, p.metrics()...)
	}
	return out
}

// reload has each part take its file in; a file that cannot be used changes nothing for its part.
func (all partList) reload(log zerolog.Logger) {
	for _, p := range all {
		apply, err := p.reload()
		switch {
		case err != nil:
			log.Error().Err(err).Str("part", p.name()).Msg(configRejectedMessage)
		case apply != nil:
			apply()
		}
	}
}

func (all partList) leave() {
	for _, p := range all {
		p.leave()
	}
}

func (all partList) stop() {
	for _, p := range all {
		p.stop()
	}
}
