package cluster

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"capersail/internal/testing/fake"
)

const (
	// listNotifiedWithin is when discovery's news counts as told at the latest, whether or not it arrived (protocol page, Figures).
	listNotifiedWithin = 6 * time.Second
	// drainGrace is how long after that something new may still go to a server that drains or is gone, with the sockets' 50 ms.
	drainGrace = 550 * time.Millisecond
	// clientRate is how many clients come in a second, and oldListHold for how long each stays.
	clientRate = 90.0
	clientHold = 300 * time.Millisecond
)

// One relay of three is cut off from discovery, while clients and servers reach it, and servers are removed meanwhile. News
// that it cannot hear counts as told 6 s after it was made (incident of 2026-12-02), so half a second later the relay may
// send those servers nothing more. After the heal it serves again.
func TestNothingNewByAListThatCannotBeConfirmed(t *testing.T) {
	for name, play := range map[string]struct {
		mode   ProxyMode
		change string
	}{
		"silent, a server gone":      {Silent, "Gone"},
		"silent, a server drains":    {Silent, "Terminating"},
		"half a line, a server gone": {Trickle, "Gone"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, Layout{Relays: 3, WithoutMembers: true}, 0)
			all := addServers(t, fleet, 3)
			proxy := proxyDiscovery(t, fleet, 0)
			startAll(t, fleet)
			tally := startLoad(t, fleet, clientRate, clientHold)
			await(t, waitLimit(), "all serve", func() error {
				for _, s := range all {
					if len(s.ConnectedAt(0, Now())) < 10 {
						return fmt.Errorf("%s has %d connections", s.ID, len(s.ConnectedAt(0, Now())))
					}
				}
				return nil
			})
			proxy.SetMode(play.mode)
			time.Sleep(500 * time.Millisecond)
			fleet.Discovery.Set("s0", all[0].Address, play.change)
			changed := Now()
			time.Sleep(listNotifiedWithin + drainGrace)
			from := Now()
			time.Sleep(4 * time.Second)
			if late := all[0].ConnectedAt(from, Now()); len(late) > 0 {
				t.Errorf("%d connections came to a server that is %s, the first %.2f s after the change and the last %.2f s", len(late), play.change,
					(late[0]-changed)/1000, (late[len(late)-1]-changed)/1000)
			}
			proxy.SetMode(Pass)
			fleet.Relays[1].SetWeight(0)
			fleet.Relays[2].SetWeight(0)
			time.Sleep(400 * time.Millisecond)
			up := tally.Up.Load()
			await(t, waitLimit(), "the relay serves again", func() error {
				if n := tally.Up.Load() - up; n < 20 {
					return fmt.Errorf("%d connections are up", n)
				}
				return nil
			})
		})
	}
}

// A server leaves the list for 4 s: half a second after the news nothing new goes there until it is back, and then it is used as any
// other, also when 6 s have passed since it left: whoever has heard both words goes by the newer one.
func TestServerAwayAndBack(t *testing.T) {
	for _, change := range []string{"Gone", "Terminating"} {
		t.Run(change, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, Layout{Relays: 3, WithoutMembers: true}, 0)
			all := addServers(t, fleet, 3)
			startAll(t, fleet)
			startLoad(t, fleet, clientRate, clientHold)
			used := func() error {
				if n := len(all[0].ConnectedAt(Now()-1000, Now())); n < 5 {
					return fmt.Errorf("%d connections came to s0 in the last second", n)
				}
				return nil
			}
			await(t, waitLimit(), "s0 is used", used)
			fleet.Discovery.Set("s0", all[0].Address, change)
			left := Now()
			wait(4000)
			if late := all[0].ConnectedAt(left+deliveredWithin+drainMargin, Now()); len(late) > 0 {
				t.Errorf("%d connections came to s0 while it was %s, the first %.2f s after the news", len(late), change, (late[0]-left)/1000)
			}
			fleet.Discovery.Set("s0", all[0].Address, "Ready")
			await(t, 2*time.Second, "s0 is used again", used)
			wait(left + notifiedWithin + drainMargin + 1000 - Now())
			if err := used(); err != nil {
				t.Errorf("when its leaving counts as told without a word: %v", err)
			}
		})
	}
}

// A relay starts with the list that it last had, in which a server stands that has been gone for long; its first call to discovery is
// spread over seconds, as all relays may start at once. Nothing goes to that server, and the others are used once discovery is heard.
func TestNothingNewByTheListOfTheStart(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 3, WithoutMembers: true, Settings: map[string]any{"balancers": 300}}, 0)
	all := addServers(t, fleet, 3)
	var known []json.RawMessage
	for _, s := range all {
		known = append(known, json.RawMessage(fake.Entry(s.ID, s.Address, "Ready")))
	}
	fleet.Discovery.Set("s0", all[0].Address, "Gone")
	wait(notifiedWithin + drainMargin)
	for i := range fleet.Relays {
		if err := fleet.Reconfigure(i, map[string]any{"known": map[string]any{"generation": 1, "reset": true, "instances": known}}); err != nil {
			t.Fatal(err)
		}
	}
	startAll(t, fleet)
	startLoad(t, fleet, clientRate, clientHold)
	await(t, waitLimit(), "the others are used", func() error {
		for _, s := range all[1:] {
			if n := len(s.ConnectedAt(Now()-1000, Now())); n < 10 {
				return fmt.Errorf("%d connections came to %s in the last second", n, s.ID)
			}
		}
		return nil
	})
	wait(7500) // by then every relay has asked
	if late := all[0].ConnectedAt(0, Now()); len(late) > 0 {
		t.Errorf("%d connections came to a server that was gone before the relays started", len(late))
	}
}
