package relay

import (
	"testing"

	"capersail/internal/observe/recorder"
)

// Where no class has an aim for messages, one that comes back soon is not told as slow, and one that nothing comes back for is.
func TestSlowMessagesWithoutAnAim(t *testing.T) {
	c, _, clock := bench(t)
	c.x.site.Settings.Classes[0].Message = 0
	c.x.Tap = recorder.New(100)
	call := c.x.Open(Ask{Left: 1000}, &side{})
	advance(c, clock, 20)
	call.Attach(0, &side{})
	call.Begin(0)
	call.Up(0)
	slow := func() (n int) {
		for _, r := range c.x.Tap.Take(nil) {
			if r.Kind == recorder.Delay {
				n++
			}
		}
		return n
	}
	for range 3 {
		call.Asked()
		advance(c, clock, 5)
		call.Heard()
		advance(c, clock, 2000)
	}
	if n := slow(); n > 0 {
		t.Errorf("%d messages of 5 ms are told as slow", n)
	}
	call.Asked()
	advance(c, clock, lateAfter+sweepEvery+5)
	if slow() == 0 {
		t.Error("a line that nothing came back for is not told")
	}
}
