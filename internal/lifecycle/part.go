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

// part is a subsystem beside the fronts, with a file of its own. What it has no use for is nil.
type part struct {
	name   string
	join   func(s *frontSeam)               // to each front, before it serves
	start  func(ctx context.Context) error  // once all fronts are joined
	reload func() (apply func(), err error) // reads and checks first; nothing has changed if it fails
	leave  func()                           // after the fronts have left
	stop   func()                           // at the very end
	// figures are shown on the second address, where that is on.
	metrics func() prometheus.Collector
}

// frontSeam is a front as a part may join it.
type frontSeam struct {
	front           string
	relay           string // the relay's name
	requests        *relay.RequestTable
	clock           *relay.Clock
	platform        *platform.Front // nil for other fronts
	deployment      *relay.Deployment
	discovery       *discovery.Client    // nil for other fronts
	fleet           relay.FleetView      // a part's to set; nil where relays do not know each other
	probeSharing    *relay.SharedProbing // the same; nil where each looks at servers for itself
	changeListeners []func(membership.Changed)
}

// notifyChange tells the parts that asked for it of a change in the fleet.
func (s *frontSeam) notifyChange(c membership.Changed) {
	for _, f := range s.changeListeners {
		f(c)
	}
}

// partList is the parts that are on.
type partList []*part

// metrics are those of all parts.
func (all partList) metrics() (out []prometheus.Collector) {
	for _, p := range all {
		if p.metrics != nil {
			out = append(out, p.metrics())
		}
	}
	return out
}

// readParts reads the files of all readParts that are on. It is the one place where the readParts are listed.
func readParts(from Sources, c *Config, log zerolog.Logger) (all partList, err error) {
	for _, p := range []struct {
		file string
		read func(path string, c *Config, log zerolog.Logger) (*part, error)
	}{
		{from.Resume, resumePart},
		{from.Timeline, timelinePart},
		{from.Members, membersPart},
	} {
		if p.file == "" {
			continue
		}
		one, err := p.read(p.file, c, log)
		if err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, nil
}

func (all partList) join(s *frontSeam) {
	for _, p := range all {
		if p.join != nil {
			p.join(s)
		}
	}
}

func (all partList) start(ctx context.Context) error {
	for _, p := range all {
		if p.start != nil {
			if err := p.start(ctx); err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
		}
	}
	return nil
}

func (all partList) reload(log zerolog.Logger) {
	for _, p := range all {
		if p.reload == nil {
			continue
		}
		apply, err := p.reload()
		if err != nil {
			log.Error().Err(err).Str("part", p.name).Msg("the new configuration cannot be used; the old one stays in force")
			continue
		}
		apply()
	}
}

func (all partList) leave() {
	for _, p := range all {
		if p.leave != nil {
			p.leave()
		}
	}
}

func (all partList) stop() {
	for _, p := range all {
		if p.stop != nil {
			p.stop()
		}
	}
}
