package main

import "time"

// stallLength is how long a client reads nothing.
const stallLength = 6 * time.Second

// playStalled plays a storm of alerts in which one of the clients reads nothing for 6 s. When it reads again
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
	storm := f.startStorm(25*time.Millisecond, 2000)
	time.Sleep(3 * time.Second)
	held := clients[0]
	if r.trouble {
		r.note("%s reads nothing for 6 s; it has %d alerts", held.user, held.received())
		held.paused.Lock()
		time.Sleep(stallLength)
		held.paused.Unlock()
		r.note("%s reads again", held.user)
	}
	time.Sleep(10 * time.Second)
	receivedBefore, pushedBefore := held.received(), storm.pushed()
	time.Sleep(20 * time.Second)
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
