package cluster

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// newAgentNotifiedWithin is when a relay counts as notified of what another agent has, after the SIGHUP that
// names it (protocol of the full fleet).
const newAgentNotifiedWithin = 4 * time.Second

// Where lists are pushed, a relay counts as notified of what its agent has whether or not a watch is open. A
// relay whose watch has been reset, and which gets no other, may act on its list for the grace only; one that
// follows another agent, for 4 s and the grace.
func TestNothingNewWithoutTheAgent(t *testing.T) {
	for name, play := range map[string]struct {
		lose     func(t *testing.T, fleet *Cluster, agent *Proxy)
		notified time.Duration
	}{
		"the watch is reset and the next one hangs": {
			lose: func(_ *testing.T, _ *Cluster, agent *Proxy) {
				agent.SetMode(Hung)
			},
		},
		"a new configuration names an agent that hangs": {
			lose: func(t *testing.T, fleet *Cluster, _ *Proxy) {
				t.Helper()
				proxyDiscovery(t, fleet, 0).SetMode(Silent)
				fleet.Reload(0)
			},
			notified: newAgentNotifiedWithin,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, pushLayout, 0)
			all := addServers(t, fleet, 2, "x0=0.1")
			agent := proxyDiscovery(t, fleet, 0)
			startAll(t, fleet)
			startLoad(t, fleet, clientRate, clientHold)
			await(t, waitLimit(), "both serve", func() error {
				return errors.Join(checkServerUsed(all[0], 10), checkServerUsed(all[1], 10))
			})
			fleet.Discovery.Set("s1", all[1].Address, "Ready") // an event comes just before the agent is lost
			time.Sleep(100 * time.Millisecond)
			play.lose(t, fleet, agent)
			lost := Now()
			fleet.Discovery.Set("s0", all[0].Address, "Gone")
			time.Sleep(play.notified + drainMargin)
			from := Now()
			time.Sleep(2 * time.Second)
			if late := all[0].ConnectedAt(from, Now()); len(late) > 0 {
				t.Errorf("%d connections came to a server that is gone, %.2f to %.2f s after the agent was lost",
					len(late), (late[0] - lost).Seconds(), (late[len(late)-1] - lost).Seconds())
			}
		})
	}
}

// pushLayout is one relay to which an agent of its own pushes endpoint lists.
var pushLayout = Layout{
	Relays:            1,
	WithoutMembership: true,
	Settings:          map[string]any{"discovery": "push"},
}

// A watch that is reset, and opened again at once, costs no request.
func TestResetOfTheAgentsWatchIsNotFelt(t *testing.T) {
	fleet := newCluster(t, pushLayout, 0)
	addServers(t, fleet, 2, "x0=0.1")
	agent := proxyDiscovery(t, fleet, 0)
	startAll(t, fleet)
	tally := startLoad(t, fleet, clientRate, clientHold)
	await(t, waitLimit(), "it serves", func() error {
		if n := tally.Accepted.Load(); n < 50 {
			return fmt.Errorf("%d connections have come up", n)
		}
		return nil
	})
	busy := tally.Rejected.Load()
	for range 3 {
		agent.SetMode(Broken)
		agent.SetMode(Pass)
		time.Sleep(time.Second)
	}
	if n := tally.Rejected.Load() - busy; n > 0 {
		t.Errorf("%d requests were rejected", n)
	}
}
