package cluster

import (
	"fmt"
	"testing"
	"time"
)

// newAgentNotifiedWithin is when what another agent has counts as told after the SIGHUP that names it (protocol of the full fleet).
const newAgentNotifiedWithin = 4 * time.Second

// Where lists are pushed, what a relay's agent has counts as told whether or not a watch is open. A relay whose watch has been reset,
// and which gets no other, may act on its list for the grace only; one that follows another agent, for 4 s and the grace.
func TestNothingNewWithoutTheAgent(t *testing.T) {
	for name, play := range map[string]struct {
		lose func(t *testing.T, fleet *Cluster, agent *Proxy)
		told time.Duration
	}{
		"the watch is reset and the next one hangs": {func(_ *testing.T, _ *Cluster, agent *Proxy) { agent.SetMode(Hung) }, 0},
		"a new configuration names an agent that hangs": {func(t *testing.T, fleet *Cluster, _ *Proxy) {
			proxyDiscovery(t, fleet, 0).SetMode(Silent)
			fleet.Reload(0)
		}, newAgentNotifiedWithin},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, Layout{Relays: 1, WithoutMembers: true, Settings: map[string]any{"discovery": "push"}}, 0)
			all := addServers(t, fleet, 2)
			agent := proxyDiscovery(t, fleet, 0)
			startAll(t, fleet)
			startLoad(t, fleet, clientRate, clientHold)
			await(t, waitLimit(), "both serve", func() error {
				for _, s := range all {
					if n := len(s.ConnectedAt(Now()-1000, Now())); n < 10 {
						return fmt.Errorf("%d connections came to %s in the last second", n, s.ID)
					}
				}
				return nil
			})
			fleet.Discovery.Set("s1", all[1].Address, "Ready") // the agent is heard just before it is lost
			time.Sleep(100 * time.Millisecond)
			play.lose(t, fleet, agent)
			lost := Now()
			fleet.Discovery.Set("s0", all[0].Address, "Gone")
			time.Sleep(play.told + drainGrace)
			from := Now()
			time.Sleep(2 * time.Second)
			if late := all[0].ConnectedAt(from, Now()); len(late) > 0 {
				t.Errorf("%d connections came to a server that is gone, %.2f to %.2f s after the agent was lost", len(late), (late[0]-lost)/1000,
					(late[len(late)-1]-lost)/1000)
			}
		})
	}
}

// A watch that is reset, and opened again at once, costs no request.
func TestResetOfTheAgentsWatchIsNotFelt(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 1, WithoutMembers: true, Settings: map[string]any{"discovery": "push"}}, 0)
	addServers(t, fleet, 2)
	agent := proxyDiscovery(t, fleet, 0)
	startAll(t, fleet)
	tally := startLoad(t, fleet, clientRate, clientHold)
	await(t, waitLimit(), "it serves", func() error {
		if n := tally.Up.Load(); n < 50 {
			return fmt.Errorf("%d connections have come up", n)
		}
		return nil
	})
	busy := tally.Busy.Load()
	for range 3 {
		agent.SetMode(Broken)
		agent.SetMode(Pass)
		time.Sleep(time.Second)
	}
	if n := tally.Busy.Load() - busy; n > 0 {
		t.Errorf("%d requests were refused", n)
	}
}
