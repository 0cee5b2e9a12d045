package cluster

import (
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"capersail/internal/testing/faultpoint"
)

// Seven relays through every fault, each fault on a fleet of its own: after the heal all that run hold one view of
// just them, and at no moment do the shares add up to over one (lay checks that).
func TestRelaysAgreeThroughFaults(t *testing.T) {
	const n = 7
	pause := func(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }
	all := func(t *testing.T, fleet *Cluster, do string, value float64) {
		if err := fleet.Play([]Step{{Do: do, Value: value}}); err != nil {
			t.Fatal(err)
		}
	}
	split := func(parts ...int) func(*testing.T, *Cluster) {
		return func(_ *testing.T, fleet *Cluster) {
			fleet.Split(parts)
			fleet.ApplyCuts()
			pause(6000)
		}
	}
	lossFor := 12_000
	if longRun() {
		lossFor = 60_000
	}
	for what, disturb := range map[string]func(*testing.T, *Cluster){
		"halves":             split(0, 0, 0, 0, 1, 1, 1),
		"majority, minority": split(0, 0, 0, 0, 0, 1, 1),
		"three ways":         split(0, 0, 1, 1, 2, 2, 2),
		"A does not hear B":  func(_ *testing.T, fleet *Cluster) { fleet.Cut(1, 0, true); fleet.ApplyCuts(); pause(5000) },
		"one hears nobody":   func(_ *testing.T, fleet *Cluster) { cutIncoming(fleet, 2); pause(6000) },
		"stopped, then woken": func(t *testing.T, fleet *Cluster) {
			fleet.Stop(3)
			await(t, waitLimit(), "out", func() error { return fleet.checkRemoved(3) })
			fleet.Cont(3)
		},
		"killed and back at once": func(t *testing.T, fleet *Cluster) {
			all(t, fleet, "late", 0.1) // packets of the first life come in the second
			pause(500)
			fleet.Kill(0)
			pause(500)
			if err := fleet.Start(0); err != nil {
				t.Fatal(err)
			}
			pause(2000)
		},
		"killed for good": func(t *testing.T, fleet *Cluster) {
			fleet.Kill(1)
			took := await(t, waitLimit(), "out of all views", func() error { return fleet.checkRemoved(1) })
			t.Logf("out of all views after %v", took.Round(10*time.Millisecond))
		},
		"half killed, back at once": func(_ *testing.T, fleet *Cluster) {
			for i := range 4 {
				fleet.Kill(i)
			}
			for i := range 4 {
				fleet.Start(i)
			}
		},
		"a fifth lost": func(t *testing.T, fleet *Cluster) {
			all(t, fleet, "loss", 0.2)
			began := Now()
			pause(lossFor)
			checkNoneRemoved(t, fleet, began)
		},
		"clocks 5% off, and a cut": func(t *testing.T, fleet *Cluster) {
			for i := range fleet.Relays {
				fleet.Play([]Step{{Do: "rate", Who: i, Value: []float64{0.95, 1.05, 1}[i%3]}})
			}
			fleet.ChangeFaults(6, func(r *faultpoint.Rules) { r.StepMs = 3_600_000 }) // and the clock of the day an hour ahead
			fleet.Kill(6)
			fleet.Start(6)
			split(0, 0, 0, 0, 1, 1, 1)(t, fleet)
		},
		"delay, doubling, old packets": func(t *testing.T, fleet *Cluster) {
			all(t, fleet, "delay", 80)
			all(t, fleet, "twice", 0.2)
			all(t, fleet, "late", 0.05)
			fleet.Kill(2)
			pause(4000)
			fleet.Start(2)
			pause(2000)
		},
		"other versions' digests": func(t *testing.T, fleet *Cluster) {
			for i := range fleet.Relays {
				fleet.ChangeFaults(i, func(r *faultpoint.Rules) { r.Digest = []int{0, -1, 1}[i%3] })
			}
			fleet.Kill(1)
			pause(500)
			fleet.Start(1)
			pause(3000)
			if err := fleet.checkAgreed(); err != nil {
				t.Errorf("with digests of three versions: %v", err)
			}
		},
		"a crowd of garbage": func(t *testing.T, fleet *Cluster) {
			began := Now()
			sendGarbage(t, fleet)
			pause(1000)
			checkNoneRemoved(t, fleet, began)
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, Layout{Relays: n}, n)
			formed := await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
			disturb(t, fleet)
			if err := fleet.Heal(); err != nil {
				t.Fatal(err)
			}
			healed := await(t, waitLimit(), "after the heal", fleet.checkAgreed)
			settled := await(t, waitLimit()+5*time.Second, "and then", fleet.checkSettled)
			t.Logf("agreed %.1f s after the start; one view %.2f s after the heal, settled %.1f s later", formed.Seconds(), healed.Seconds(), settled.Seconds())
		})
	}
}

// checkNoneRemoved checks that since a moment no relay was told a view without one of the ground's: all of them run, and a majority
// hears each.
func checkNoneRemoved(t *testing.T, fleet *Cluster, since float64) {
	t.Helper()
	history, err := fleet.History()
	if err != nil {
		t.Error(err)
	}
	for _, h := range history {
		if h.T > since && h.Event == "" && len(h.Members) < len(fleet.Relays) {
			t.Errorf("%s was told a view of %v: somebody was removed falsely", h.Name, h.Members)
			return
		}
	}
}

// cutIncoming cuts all that comes to a relay; what it says still gets out.
func cutIncoming(fleet *Cluster, i int) {
	for j := range fleet.Relays {
		fleet.Cut(j, i, j != i)
	}
	fleet.ApplyCuts()
}

// sendGarbage throws packets and streams at every relay: noise, cut and oversized messages, and what was sent before.
func sendGarbage(t *testing.T, fleet *Cluster) {
	for i, r := range fleet.Relays {
		c, err := net.Dial("udp", r.Gossip)
		if err != nil {
			t.Fatal(err)
		}
		for j := range 2000 {
			p := make([]byte, (j*37)%1400)
			for k := range p {
				p[k] = byte(j*k + i + j>>3)
			}
			if len(p) > 0 && j%3 == 0 {
				p[0] = byte(j % 14) // a kind of message that memberlist has
			}
			c.Write(p)
		}
		c.Close()
		for range 3 {
			if c, err := net.Dial("tcp", r.Gossip); err == nil {
				c.Write([]byte(strings.Repeat("\xff\x06junk", 1000)))
				c.Close()
			}
		}
	}
}

// A fleet starts in lots, doubles, is restarted in lots while it is whole, and halves.
func TestFleetGrowsAndShrinks(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 8, Founders: 4}, 4)
	await(t, waitLimit(), "four", fleet.checkSettled)
	for i := 4; i < 8; i++ {
		fleet.Start(i)
		if i == 5 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	await(t, waitLimit()+10*time.Second, "eight", fleet.checkSettled)
	for lot := range 4 { // two of eight at a time, while the others go on
		for i := range 2 {
			if lot%2 == 0 {
				fleet.Kill(2*lot + i)
			} else {
				fleet.Term(2*lot + i)
			}
		}
		time.Sleep(200 * time.Millisecond)
		for i := range 2 {
			fleet.Start(2*lot + i)
		}
		await(t, waitLimit(), "after a lot", fleet.checkAgreed)
	}
	for i := 7; i > 3; i-- {
		fleet.Term(i)
	}
	await(t, waitLimit()+10*time.Second, "four again", fleet.checkSettled)
	last, _ := fleet.Latest()
	if s := last["r0"].Share; s < 0.249 || s > 0.251 {
		t.Errorf("a share of four is %v", s)
	}
}

// Two fleets whose seeds name each other, one of another site and one with another key, are never merged.
func TestFleetsAreNotMerged(t *testing.T) {
	key := func(b byte) string {
		return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune(b)), 32))) + "\n"
	}
	for what, other := range map[string]Layout{"another site": {Relays: 3, Deployment: "elsewhere", Keys: key('a')}, "another key": {Relays: 3, Keys: key('b')}} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			a, b := newCluster(t, Layout{Relays: 3, Keys: key('a')}, 0), newCluster(t, other, 0)
			for i, fleet := range []*Cluster{a, b} {
				for _, r := range fleet.Relays {
					text, _ := os.ReadFile(r.path("members.toml"))
					seeds := fmt.Sprintf("seeds = [%q, %q, ", []*Cluster{b, a}[i].Relays[0].Gossip, []*Cluster{b, a}[i].Relays[1].Gossip)
					os.WriteFile(r.path("members.toml"), []byte(strings.Replace(string(text), "seeds = [", seeds, 1)), 0o600)
				}
				for j := range fleet.Relays {
					fleet.Start(j)
				}
			}
			await(t, waitLimit(), "the one", a.checkSettled)
			await(t, waitLimit(), "the other", b.checkSettled)
			reason := map[string]string{"another site": "foreign", "another key": "unsealed"}[what]
			await(t, waitLimit(), "the drops are counted", func() error {
				for _, r := range a.Relays {
					if out, _ := exec.Command(program, "members", "list", "--socket", r.Socket).Output(); strings.Contains(string(out), "dropped:") && strings.Contains(string(out), reason) {
						return nil
					}
				}
				return fmt.Errorf("nothing was dropped as %s", reason)
			})
			if err := a.checkSettled(); err != nil {
				t.Error(err)
			}
		})
	}
}
