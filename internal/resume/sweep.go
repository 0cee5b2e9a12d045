package resume

import (
	"context"
	"math/rand/v2"
	"time"

	"capersail/internal/ownership"
	"capersail/internal/wire/zookeeper"
)

// sweepConcurrency is how many records a sweep reads at once. It limits how long acquisitions wait behind the
// requests of a sweep.
const sweepConcurrency = 64

// sweepLoop removes records whose last token has expired, until the context ends. The interval is random, so
// that relays do not sweep at the same time.
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

// Sweep checks every record once. It returns when the last answer has arrived, when no answer has arrived for
// SessionTimeout, or when the context has ended.
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
	for range sweepConcurrency { // wait for the last answers
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		case <-s.Clock.After(s.SessionTimeout):
			return
		}
	}
}

// sweepRecord removes a record if no token of its stream is valid any more, and calls done. It deletes only
// the version that it has read, so that the record of a stream that is acquired in the meantime stays. The
// record of an owned stream cannot be deleted, as it has a child node.
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
