package resume

import (
	"context"
	"math/rand/v2"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/wire/zookeeper"
)

// sweepConcurrency is how many records a sweep reads at once; claims wait behind them for no longer.
const sweepConcurrency = 64

// sweepLoop removes records whose last token has expired, each relay at times of its own.
func (s *Service) sweepLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.AfterMillis(s.SweepInterval * (0.5 + rand.Float64())):
			s.Sweep(ctx)
		}
	}
}

// Sweep looks at every record once. Removing asks for the version that was read, so a stream taken on
// meanwhile stays, and one that is held cannot be removed, as it has a child.
func (s *Service) Sweep(ctx context.Context) {
	names := make(chan []string, 1)
	s.session.Children(s.Path, func(a zookeeper.Answer) { names <- a.Children })
	room := make(chan struct{}, sweepConcurrency)
	for _, name := range <-names {
		record := s.Path + "/" + name
		select {
		case <-ctx.Done():
			return
		case room <- struct{}{}:
		}
		s.session.Get(record, func(a zookeeper.Answer) {
			r, err := ownership.ParseRecord(a.Data)
			if a.Code != zookeeper.OK || err != nil || float64(s.unixNow()-r.ExpiresUnixMs) <= s.MaxClockSkew {
				<-room
				return
			}
			s.session.Delete(record, a.Stat.Version, func(a zookeeper.Answer) {
				if a.Code == zookeeper.OK {
					s.count(&s.stats.Swept)
				}
				<-room
			})
		})
	}
	for range sweepConcurrency { // the last answers
		select {
		case <-ctx.Done():
			return
		case room <- struct{}{}:
		case <-s.Clock.AfterMillis(relay.Millis(relay.Duration(s.SessionTimeout))):
			return
		}
	}
}
