package relay

import (
	"testing"

	"capersail/internal/observe/recorder"
)

// Where no class has an aim for messages, one that comes back soon is not told as slow, and one that nothing comes back for is.
func TestSlowMessagesWithoutAnAim(t *testing.T) {
	c, _, clock := bench(t)
	c.table.deployment.Settings.Classes[0].MessageLatencyObjective = 0
	c.table.Recorder = recorder.New(100)
	call := c.table.Open(OpenRequest{Timeout: 1000}, &side{})
	advance(c, clock, 20)
	call.Attach(0, &side{})
	call.BeginWrite(0)
	call.Establish(0)
	slow := func() (n int) {
		for _, r := range c.table.Recorder.TakeAll(nil) {
			if r.Kind == recorder.MessageDelayed {
				n++
			}
		}
		return n
	}
	for range 3 {
		call.LineSent()
		advance(c, clock, 5)
		call.LineReceived()
		advance(c, clock, 2000)
	}
	if n := slow(); n > 0 {
		t.Errorf("%d messages of 5 ms are told as slow", n)
	}
	call.LineSent()
	advance(c, clock, slowMessageAfter+sweepInterval+5)
	if slow() == 0 {
		t.Error("a line that nothing came back for is not told")
	}
}
