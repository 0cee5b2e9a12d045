package main

import "time"

const (
	// stallLength is how long a client reads nothing.
	stallLength = 4 * time.Second
	// scanInterval is the time between two alerts of a stream, and scanLength the length of one.
	scanInterval = 25 * time.Millisecond
	scanLength   = 2000
)

// playStalled plays a storm of alerts in which one of the clients reads nothing for 4 s. When it reads again
// its stream must either go on or have been ended.
func playStalled(r *rig) error {
	f, err := startAlertFleet(r, 5)
	if err != nil {
		return err
	}
	clients, err := f.openStreams(10)
	if err != nil {
		return err
	}
	storm := f.startStorm(scanInterval, scanLength)
	time.Sleep(3 * time.Second)
	held := clients[0]
	if r.trouble {
		r.note("%s reads nothing for %v; it has %d alerts", held.user, stallLength, held.received())
		held.paused.Lock()
		time.Sleep(stallLength)
		held.paused.Unlock()
		r.note("%s reads again", held.user)
	}
	watch := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(2 * time.Second) {
			r.note("%d alerts sent to each stream; %s has %d, %s has %d", storm.pushed(), held.user,
				held.received(), clients[1].user, clients[1].received())
		}
	}
	watch(10 * time.Second)
	receivedBefore, pushedBefore := held.received(), storm.pushed()
	watch(20 * time.Second)
	storm.end()
	time.Sleep(time.Second)
	for _, c := range clients {
		outcome, _, lastAt := c.state()
		r.note("%s: %d of %d alerts, the last one %d ms ago, stream ended: %q", c.user, c.received(),
			storm.pushed(), time.Since(lastAt).Milliseconds(), outcome)
	}
	outcome, _, _ := held.state()
	got := held.received() - receivedBefore
	r.note("%s got %d of the %d alerts of the last 20 s", held.user, got, storm.pushed()-pushedBefore)
	if outcome == "" && got == 0 {
		r.note("%s has neither been given another stanza nor the end of its stream", held.user)
		return errBroken
	}
	return nil
}
