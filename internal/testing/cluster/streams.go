package cluster

import (
	"fmt"
	"time"
)

const (
	// echoLimit is how long a line and its echo may be under way on a sound connection: the platform allows
	// a second, and a busy machine gets the rest.
	echoLimit = 1500 * time.Millisecond
	// endForwardingLimit is when a connection has ended, or was moved, whose server has ended it.
	endForwardingLimit = 1500 * time.Millisecond
)

// Stream is an accepted connection that its client has gone on using. Its instants are as Now has them.
type Stream struct {
	ID       string
	Relay    int
	EndedAt  time.Duration
	Ending   StreamEnding
	LateEcho time.Duration // the longest wait for an echo, where that was over echoWithin; else 0
}

// StreamEnding is how a stream has ended, as its client saw it.
type StreamEnding int

// The endings of a stream.
const (
	ClosedByClient    StreamEnding = iota // the client has closed it
	Migrated                              // by MOVE, and then a close
	ClosedWithoutMove                     // without MOVE
)

// RecordStream records a stream that has ended.
func (j *Checker) RecordStream(s Stream) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.streams = append(j.streams, s)
}

// checkStream checks a stream against the attempt that it came of: it is neither cut off without MOVE while its
// server goes on, nor held back, nor held on to once its server has ended it.
func (j *Checker) checkStream(s Stream, attempt Arrival) (violations []string) {
	const downMargin = 100 * time.Millisecond
	if anyOverlaps(j.processDown[s.Relay], s.EndedAt-downMargin, s.EndedAt) {
		return nil
	}
	if s.Ending == ClosedWithoutMove && !attempt.EndedByServer {
		violations = append(violations, fmt.Sprintf("cut: %s of relay %d was cut off without MOVE at %.2f s",
			s.ID, s.Relay, s.EndedAt.Seconds()))
	}
	if s.LateEcho > 0 {
		violations = append(violations, fmt.Sprintf("held: %s of relay %d waited %.2f s for a line",
			s.ID, s.Relay, s.LateEcho.Seconds()))
	}
	if late := s.EndedAt - attempt.EndedAt; attempt.EndedByServer && late > endForwardingLimit {
		violations = append(violations, fmt.Sprintf("held: %s of relay %d ended %.2f s after its server ended it",
			s.ID, s.Relay, late.Seconds()))
	}
	return violations
}
