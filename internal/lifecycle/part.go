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

// part is an optional subsystem next to the fronts, with an operator's file of its own. The file is read and
// checked before the part is created (readParts). The methods are called in the order in which they are
// declared, each once, except that reload may be called any number of times between start and leave.
type part interface {
	// name returns the name of the part in logs and errors.
	name() string
	// join connects the part to a front, before the front serves. It is called once for each front.
	join(front *frontHooks)
	// start starts the part, after it has joined all fronts. What it starts runs until stop, even if ctx ends
	// earlier.
	start(ctx context.Context) error
	// metrics returns the collectors for the admin address. It is called only if that address is on.
	metrics() []prometheus.Collector
	// reload reads the file again and checks it. The part changes only when apply is called. A nil apply
	// means that the part cannot change while the relay runs.
	reload() (apply func(), err error)
	// leave is called after the fronts have shut down.
	leave()
	// stop stops the part, just before the process ends. It is also called if the part was never started.
	stop()
}

// partDefaults implements the methods that a part may leave empty. A part that does not need all of them
// embeds it.
type partDefaults struct{}

func (partDefaults) metrics() []prometheus.Collector { return nil }
func (partDefaults) reload() (func(), error)         { return nil, nil }
func (partDefaults) leave()                          {}
func (partDefaults) stop()                           {}

// errNeedsPlatform returns the error for the file of a part that needs the platform's front, if that front is
// off. The text only ends the sentence with what needs the platform's front.
func errNeedsPlatform(path, only string) error {
	return fmt.Errorf("%s: LB_CONFIG is not set: only %s", path, only)
}

// frontHooks is the access that a part has to a front when it joins the front.
type frontHooks struct {
	frontName       string
	relayName       string // the name of the relay
	upgrade         bool   // the process that this one replaces may still run
	requests        *relay.RequestTable
	clock           *relay.Clock
	platform        *platform.Frontend      // nil for other fronts
	discovery       *discovery.Client       // nil for other fronts
	fleet           relay.FleetStatusSource // set by a part; nil if the relay is not a member of a fleet
	sharedProbing   *relay.SharedProbing    // set by a part; nil if each relay probes for itself
	changeListeners []func(membership.StateChanged)
}

// notifyChange passes a change in the fleet to the parts that have added a listener.
func (h *frontHooks) notifyChange(change membership.StateChanged) {
	for _, listen := range h.changeListeners {
		listen(change)
	}
}

// partList is the list of the parts that are on.
type partList []part

// readParts reads the files of all parts that are on, and returns the parts. It is the only place that
// lists all kinds of parts.
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

// start starts the parts in order, and stops at the first that fails.
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

// reload has each part read its file again and apply it. A part whose file is rejected stays unchanged.
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
