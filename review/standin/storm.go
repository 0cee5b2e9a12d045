package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// longestSilence is the most that `silent_ms` may be: by then a stanza is confirmed, or it is returned
	// and its stream ended.
	longestSilence = 7 * time.Second
	queries        = 200
	queryInterval  = 400 * time.Millisecond
	afterStorm     = 5 * time.Second
	// calmInterval is the time between two alerts of a stream; in the storm they are half as many again.
	calmInterval  = 1250 * time.Millisecond
	stormInterval = calmInterval * 2 / 3
)

// storm pushes alerts to all streams until it is ended.
type storm struct {
	count atomic.Int64
	stop  chan struct{}
}

// startStorm pushes an alert at each interval to every stream, with a body of a length.
func (f *alertFleet) startStorm(every time.Duration, length int) *storm {
	s := &storm{stop: make(chan struct{})}
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(every):
				f.push(fmt.Sprintf("a%d", s.count.Add(1)), length)
			}
		}
	}()
	return s
}

func (s *storm) pushed() int { return int(s.count.Load()) }
func (s *storm) end()        { close(s.stop) }

// playStorm plays clients that send a query every 400 ms, which the servers answer at once, while alerts come
// half as often again as on a calm day. Each query must be answered, or returned as an error, or its stream
// be ended, within the longest `silent_ms`.
func playStorm(r *rig) error {
	f, err := startAlertFleet(r, 5)
	if err != nil {
		return err
	}
	clients, err := f.openStreams(10)
	if err != nil {
		return err
	}
	every := stormInterval
	if !r.trouble {
		every = calmInterval
	}
	r.note("an alert every %v to each stream", every)
	alerts := f.startStorm(every, 400)
	sentAt := map[string]time.Time{}
	for n := range queries {
		id := fmt.Sprintf("q%d", n+1)
		sentAt[id] = time.Now()
		for _, c := range clients {
			fmt.Fprintf(c.conn, "<iq type='get' id='%s'><query xmlns='jabber:iq:version'/></iq>", id)
		}
		time.Sleep(queryInterval)
		if (n+1)%10 == 0 {
			open, oldest := clients[0].unanswered(sentAt)
			r.note("%s: %d queries sent, %d not answered, the oldest for %d ms; %d alerts sent to it, %d received",
				clients[0].user, n+1, open, oldest.Milliseconds(), alerts.pushed(), clients[0].received())
		}
	}
	time.Sleep(longestSilence + time.Second)
	broken := false
	for _, c := range clients {
		unanswered, longest := c.unanswered(sentAt)
		outcome, _, _ := c.state()
		r.note("%s: %d of %d queries unanswered, the oldest for %d ms; %d of %d alerts; stream ended: %q", c.user,
			unanswered, queries, longest.Milliseconds(), c.received(), alerts.pushed(), outcome)
		broken = broken || unanswered > 0 && outcome == ""
	}
	for _, s := range f.servers {
		r.note("server %s: %d queries came and were answered", s.name, s.answered.Load())
	}
	alerts.end()
	time.Sleep(afterStorm)
	left, _ := clients[0].unanswered(sentAt)
	r.note("%v after the last alert (not judged): %s has %d queries unanswered", afterStorm, clients[0].user, left)
	if broken {
		return errBroken
	}
	return nil
}
