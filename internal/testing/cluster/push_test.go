package cluster

import (
	"fmt"
	"testing"
	"time"
)

// movedWithin is when what another agent has counts as told after the SIGHUP that names it (protocol of the full fleet).
const movedWithin = 4 * time.Second

// Where lists are pushed, what a relay's agent has counts as told whether or not a watch is open. A relay whose watch has been reset,
// and which gets no other, may act on its list for the grace only; one that follows another agent, for 4 s and the grace.
func TestNothingNewWithoutTheAgent(t *testing.T) {
	for name, play := range map[string]struct {
		lose func(t *testing.T, g *Cluster, agent *Proxy)
		told time.Duration
	}{
		"the watch is reset and the next one hangs": {func(_ *testing.T, _ *Cluster, agent *Proxy) { agent.Set(Hung) }, 0},
		"a new configuration names an agent that hangs": {func(t *testing.T, g *Cluster, _ *Proxy) {
			before(t, g, 0).Set(Silent)
			g.Hup(0)
		}, movedWithin},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := lay(t, Plan{Relays: 1, Alone: true, Settings: map[string]any{"discovery": "push"}}, 0)
			all := servers(t, g, 2)
			agent := before(t, g, 0)
			startAll(t, g)
			load(t, g, oldListRate, oldListHold)
			await(t, patience(), "both serve", func() error {
				for _, s := range all {
					if n := len(s.Came(Now()-1000, Now())); n < 10 {
						return fmt.Errorf("%d connections came to %s in the last second", n, s.ID)
					}
				}
				return nil
			})
			g.Discovery.Set("s1", all[1].Address, "Ready") // the agent is heard just before it is lost
			time.Sleep(100 * time.Millisecond)
			play.lose(t, g, agent)
			lost := Now()
			g.Discovery.Set("s0", all[0].Address, "Gone")
			time.Sleep(play.told + drainGrace)
			from := Now()
			time.Sleep(2 * time.Second)
			if late := all[0].Came(from, Now()); len(late) > 0 {
				t.Errorf("%d connections came to a server that is gone, %.2f to %.2f s after the agent was lost", len(late), (late[0]-lost)/1000,
					(late[len(late)-1]-lost)/1000)
			}
		})
	}
}

// A watch that is reset, and opened again at once, costs no request.
func TestResetOfTheAgentsWatchIsNotFelt(t *testing.T) {
	g := lay(t, Plan{Relays: 1, Alone: true, Settings: map[string]any{"discovery": "push"}}, 0)
	servers(t, g, 2)
	agent := before(t, g, 0)
	startAll(t, g)
	tally := load(t, g, oldListRate, oldListHold)
	await(t, patience(), "it serves", func() error {
		if n := tally.Up.Load(); n < 50 {
			return fmt.Errorf("%d connections have come up", n)
		}
		return nil
	})
	busy := tally.Busy.Load()
	for range 3 {
		agent.Set(Broken)
		agent.Set(Pass)
		time.Sleep(time.Second)
	}
	if n := tally.Busy.Load() - busy; n > 0 {
		t.Errorf("%d requests were refused", n)
	}
}
