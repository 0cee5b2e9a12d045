package resume

import (
	"context"
	"math/rand/v2"
	"time"

	"capersail/internal/ownership"
	"capersail/internal/wire/zookeeper"
)

// sweepConcurrency is how many records a sweep reads at once; acquisitions wait behind them for no longer.
const sweepConcurrency = 64

// sweepLoop removes records whose last token has expired, each relay at times of its own, until the context
// ends.
func (s *Service) sweepLoop(ctx context.Context) {
	for {
		wait := time.Duration(float64(s.SweepInterval) * (0.5 + rand.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(wait):
			s.Sweep(ctx)
		}
	}
}

// Sweep checks every record once. It returns when the last answer has come, no answer has come for a
// session's timeout, or the context has ended.
func (s *Service) Sweep(ctx context.Context) {
	names := make(chan []string, 1)
	s.session.Children(s.Path, func(a zookeeper.Answer) { names <- a.Children })
	slots := make(chan struct{}, sweepConcurrency)
	for _, name := range <-names {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		s.sweepRecord(s.recordPath(name), func() { <-slots })
	}
	for range sweepConcurrency { // the last answers
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		case <-s.Clock.After(s.SessionTimeout):
			return
		}
	}
}

// sweepRecord removes a record if no valid token of its stream is left, and calls done. It removes the
// version that it read, so a stream that is acquired meanwhile stays; one that is owned cannot be removed, as
// it has a child.
func (s *Service) sweepRecord(record string, done func()) {
	s.session.Get(record, func(a zookeeper.Answer) {
		r, err := ownership.ParseRecord(a.Data)
		expiredMs := s.wallNow().UnixMilli() - r.ExpiresUnixMs
		if a.Code != zookeeper.OK || err != nil || expiredMs <= s.MaxClockSkew.Milliseconds() {
			done()
			return
		}
		s.session.Delete(record, a.Stat.Version, func(a zookeeper.Answer) {
			if a.Code == zookeeper.OK {
				s.increment(&s.stats.RecordsSwept)
			}
			done()
		})
	})
}
