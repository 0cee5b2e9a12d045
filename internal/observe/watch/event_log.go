package watch

import (
	"slices"

	"github.com/rs/zerolog"

	"capersail/internal/observe/anomaly"
)

const (
	maxEvents      = 2048 // events kept in memory
	maxFollowers   = 16
	followerBuffer = 256 // events that may wait for a follower
)

// eventLog keeps the newest events and passes each one to the log, the store and the followers. The Watcher's
// lock guards it.
type eventLog struct {
	events    []anomaly.Event // ended and active events, in the order of their beginnings
	followers map[chan anomaly.Event]bool
	rows      *rowWriter // nil without a store
	log       zerolog.Logger
}

func newEventLog(rows *rowWriter, log zerolog.Logger) *eventLog {
	return &eventLog{
		followers: map[chan anomaly.Event]bool{},
		rows:      rows,
		log:       log,
	}
}

// record records an event that has begun or ended.
func (l *eventLog) record(e anomaly.Event) {
	l.logChange(e)
	l.keepEvent(e)
	if l.rows != nil {
		l.rows.writeEvent(e)
	}
	l.notifyFollowers(e)
}

func (l *eventLog) logChange(e anomaly.Event) {
	if e.Kind == anomaly.RelayChanged { // the caller that observed the change logs it
		return
	}
	line := l.log.Info().Str("server", e.Server).Str("event", e.Name).Str("evidence", e.Evidence)
	if e.To != 0 {
		line.Msg("anomaly ended")
		return
	}
	line.Float64("confidence", e.Confidence).Msg("anomaly began")
}

// keepEvent adds an event, or replaces the entry of its beginning if it has ended. If the log is full, the
// oldest event is dropped.
func (l *eventLog) keepEvent(e anomaly.Event) {
	i := slices.IndexFunc(l.events, func(o anomaly.Event) bool { return sameEvent(o, e) })
	if i >= 0 {
		l.events[i] = e
		return
	}
	if len(l.events) == maxEvents {
		l.events = append(l.events[:0], l.events[1:]...)
	}
	l.events = append(l.events, e)
}

func sameEvent(a, b anomaly.Event) bool {
	return a.Server == b.Server && a.Kind == b.Kind && a.From == b.From
}

// notifyFollowers sends an event to all followers. It never blocks: a follower whose buffer is full is
// removed and its channel closed.
func (l *eventLog) notifyFollowers(e anomaly.Event) {
	for follower := range l.followers {
		select {
		case follower <- e:
		default:
			delete(l.followers, follower)
			close(follower)
		}
	}
}

// addFollower returns the channel of a new follower, or nil if there are too many.
func (l *eventLog) addFollower() chan anomaly.Event {
	if len(l.followers) >= maxFollowers {
		return nil
	}
	follower := make(chan anomaly.Event, followerBuffer)
	l.followers[follower] = true
	return follower
}

func (l *eventLog) removeFollower(follower chan anomaly.Event) {
	delete(l.followers, follower)
}

// eventsWithCurrentEvidence returns a copy of the events in which the active ones have their current
// evidence.
func (l *eventLog) eventsWithCurrentEvidence(active []anomaly.Event) []anomaly.Event {
	events := slices.Clone(l.events)
	for _, current := range active {
		for i, e := range events {
			if sameEvent(e, current) {
				events[i] = current
			}
		}
	}
	return events
}
