package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"capersail/internal/testing/fake"
)

const (
	clientRate = 90.0 // connections a second
	clientHold = 300 * time.Millisecond
)

// One relay of three is cut off from discovery, while clients and servers reach it, and servers are removed
// meanwhile. It counts as notified 6 s after a change (incident of 2026-12-02), so half a second later it may
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
			fleet := newCluster(t, Layout{Relays: 3, WithoutMembership: true}, 0)
			all := addServers(t, fleet, 3, "x0=0.1")
			proxy := proxyDiscovery(t, fleet, 0)
			startAll(t, fleet)
			tally := startLoad(t, fleet, clientRate, clientHold)
			await(t, waitLimit(), "all serve", func() error {
				for _, s := range all {
					if n := len(s.ConnectedAt(0, Now())); n < 10 {
						return fmt.Errorf("%s has had %d connections", s.ID, n)
					}
				}
				return nil
			})
			proxy.SetMode(play.mode)
			time.Sleep(500 * time.Millisecond)
			fleet.Discovery.Set("s0", all[0].Address, play.change)
			changed := Now()
			time.Sleep(notificationLimit + drainMargin)
			from := Now()
			time.Sleep(4 * time.Second)
			if late := all[0].ConnectedAt(from, Now()); len(late) > 0 {
				t.Errorf("%d connections came to a server that is %s, %.2f to %.2f s after the change",
					len(late), play.change, (late[0] - changed).Seconds(), (late[len(late)-1] - changed).Seconds())
			}
			proxy.SetMode(Pass)
			fleet.Relays[1].SetWeight(0)
			fleet.Relays[2].SetWeight(0)
			time.Sleep(400 * time.Millisecond)
			up := tally.Accepted.Load()
			await(t, waitLimit(), "the relay serves again", func() error {
				if n := tally.Accepted.Load() - up; n < 20 {
					return fmt.Errorf("%d connections are up", n)
				}
				return nil
			})
		})
	}
}

// A server leaves the endpoint list for 4 s: half a second after the event nothing new goes there until it is
// back, and then it is used as any other, also when 6 s have passed since it left: a relay with both events
// goes by the newer one.
func TestServerAwayAndBack(t *testing.T) {
	for _, change := range []string{"Gone", "Terminating"} {
		t.Run(change, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, Layout{Relays: 3, WithoutMembership: true}, 0)
			all := addServers(t, fleet, 3, "x0=0.1")
			startAll(t, fleet)
			startLoad(t, fleet, clientRate, clientHold)
			used := func() error {
				return checkServerUsed(all[0], 5)
			}
			await(t, waitLimit(), "s0 is used", used)
			fleet.Discovery.Set("s0", all[0].Address, change)
			left := Now()
			time.Sleep(4 * time.Second)
			if late := all[0].ConnectedAt(left+eventDeliveryLimit+drainMargin, Now()); len(late) > 0 {
				t.Errorf("%d connections came to s0 while it was %s, the first %.2f s after the event",
					len(late), change, (late[0] - left).Seconds())
			}
			fleet.Discovery.Set("s0", all[0].Address, "Ready")
			await(t, 2*time.Second, "s0 is used again", used)
			time.Sleep(left + notificationLimit + drainMargin + time.Second - Now())
			if err := used(); err != nil {
				t.Errorf("when relays count as notified of its leaving without an event: %v", err)
			}
		})
	}
}

// A relay starts with the endpoint list that it last had, with a server that has been gone for long; its
// first poll of discovery is spread over seconds, as all relays may start at once. Nothing goes to that
// server, and the others are used once discovery has answered.
func TestNothingNewByTheListOfTheStart(t *testing.T) {
	fleet := newCluster(t, Layout{
		Relays:            3,
		WithoutMembership: true,
		Settings:          map[string]any{"balancers": 300},
	}, 0)
	all := addServers(t, fleet, 3, "x0=0.1")
	var known []json.RawMessage
	for _, s := range all {
		known = append(known, json.RawMessage(fake.EndpointJSON(s.ID, s.Address, "Ready")))
	}
	fleet.Discovery.Set("s0", all[0].Address, "Gone")
	time.Sleep(notificationLimit + drainMargin)
	list := map[string]any{"generation": 1, "reset": true, "instances": known}
	for i := range fleet.Relays {
		if err := fleet.Reconfigure(i, map[string]any{"known": list}); err != nil {
			t.Fatal(err)
		}
	}
	startAll(t, fleet)
	startLoad(t, fleet, clientRate, clientHold)
	await(t, waitLimit(), "the others are used", func() error {
		return errors.Join(checkServerUsed(all[1], 10), checkServerUsed(all[2], 10))
	})
	time.Sleep(7500 * time.Millisecond) // by then every relay has polled
	if late := all[0].ConnectedAt(0, Now()); len(late) > 0 {
		t.Errorf("%d connections came to a server that was gone before the relays started", len(late))
	}
}
