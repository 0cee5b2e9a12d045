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

// membershipFaults are what seven relays agree through, by name.
var membershipFaults = map[string]func(*testing.T, *Cluster){
	"halves":             splitFor6s(0, 0, 0, 0, 1, 1, 1),
	"majority, minority": splitFor6s(0, 0, 0, 0, 0, 1, 1),
	"three ways":         splitFor6s(0, 0, 1, 1, 2, 2, 2),
	"A does not hear B": func(_ *testing.T, fleet *Cluster) {
		fleet.Cut(1, 0, true)
		fleet.ApplyCuts()
		time.Sleep(5 * time.Second)
	},
	"one hears nobody": func(_ *testing.T, fleet *Cluster) {
		cutIncoming(fleet, 2)
		time.Sleep(6 * time.Second)
	},
	"stopped, then woken": func(t *testing.T, fleet *Cluster) {
		t.Helper()
		fleet.Suspend(3)
		await(t, waitLimit(), "out", func() error { return fleet.checkRemoved(3) })
		fleet.Resume(3)
	},
	"killed and back at once": killAndStart,
	"killed for good": func(t *testing.T, fleet *Cluster) {
		t.Helper()
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
	"a fifth lost":                 loseFifthOfPackets,
	"clocks 5% off, and a cut":     skewClocks,
	"delay, doubling, old packets": delayAndDouble,
	"other versions' digests":      mixDigests,
	"a crowd of garbage": func(t *testing.T, fleet *Cluster) {
		t.Helper()
		began := Now()
		sendGarbage(t, fleet)
		time.Sleep(time.Second)
		checkNoneRemoved(t, fleet, began)
	},
}

// splitFor6s is a split into the parts that the relays are given.
func splitFor6s(parts ...int) func(*testing.T, *Cluster) {
	return func(_ *testing.T, fleet *Cluster) {
		fleet.Split(parts)
		fleet.ApplyCuts()
		time.Sleep(6 * time.Second)
	}
}

// killAndStart has packets of a relay's first incarnation arrive in its second.
func killAndStart(t *testing.T, fleet *Cluster) {
	t.Helper()
	runStep(t, fleet, "late", 0.1)
	time.Sleep(500 * time.Millisecond)
	fleet.Kill(0)
	time.Sleep(500 * time.Millisecond)
	if err := fleet.Start(0); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
}

// loseFifthOfPackets loses a fifth of all packets, through which no relay is removed.
func loseFifthOfPackets(t *testing.T, fleet *Cluster) {
	t.Helper()
	lossFor := 12 * time.Second
	if longRun() {
		lossFor = time.Minute
	}
	runStep(t, fleet, "loss", 0.2)
	began := Now()
	time.Sleep(lossFor)
	checkNoneRemoved(t, fleet, began)
}

// skewClocks has the relays' clocks differ by 5 %, and one's clock of the day an hour ahead, and splits them.
func skewClocks(t *testing.T, fleet *Cluster) {
	t.Helper()
	for i := range fleet.Relays {
		fleet.RunSchedule([]Step{{Action: "rate", Relay: i, Value: []float64{0.95, 1.05, 1}[i%3]}})
	}
	fleet.ChangeFaults(6, func(r *faultpoint.Rules) { r.WallClockStepMs = toMillis(time.Hour) })
	fleet.Kill(6)
	fleet.Start(6)
	splitFor6s(0, 0, 0, 0, 1, 1, 1)(t, fleet)
}

// delayAndDouble has packets overtake each other, come twice and come late, over a restart.
func delayAndDouble(t *testing.T, fleet *Cluster) {
	t.Helper()
	runStep(t, fleet, "delay", 80)
	runStep(t, fleet, "twice", 0.2)
	runStep(t, fleet, "late", 0.05)
	fleet.Kill(2)
	time.Sleep(4 * time.Second)
	fleet.Start(2)
	time.Sleep(2 * time.Second)
}

// mixDigests has relays send digests of this version, an earlier and a later one, by which they agree.
func mixDigests(t *testing.T, fleet *Cluster) {
	t.Helper()
	for i := range fleet.Relays {
		fleet.ChangeFaults(i, func(r *faultpoint.Rules) { r.StatusVersion = []int{0, -1, 1}[i%3] })
	}
	fleet.Kill(1)
	time.Sleep(500 * time.Millisecond)
	fleet.Start(1)
	time.Sleep(3 * time.Second)
	if err := fleet.checkAgreed(); err != nil {
		t.Errorf("with digests of three versions: %v", err)
	}
}

// runStep plays one action, at once.
func runStep(t *testing.T, fleet *Cluster, action string, value float64) {
	t.Helper()
	if err := fleet.RunSchedule([]Step{{Action: action, Value: value}}); err != nil {
		t.Fatal(err)
	}
}

// Seven relays through every fault, each fault on a fleet of its own: after the heal all that run hold one
// view of just them, and at no instant do the shares add up to over 1 (newCluster checks that).
func TestRelaysAgreeThroughFaults(t *testing.T) {
	const n = 7
	for name, disturb := range membershipFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, Layout{Relays: n}, n)
			formed := await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
			disturb(t, fleet)
			if err := fleet.Heal(); err != nil {
				t.Fatal(err)
			}
			healed := await(t, waitLimit(), "after the heal", fleet.checkAgreed)
			settled := await(t, waitLimit()+5*time.Second, "and then", fleet.checkSettled)
			t.Logf("agreed %.1f s after the start; one view %.2f s after the heal, settled %.1f s later",
				formed.Seconds(), healed.Seconds(), settled.Seconds())
		})
	}
}

// checkNoneRemoved checks that since an instant no relay held a view without one of the fleet: all of them
// run, and a majority hears each.
func checkNoneRemoved(t *testing.T, fleet *Cluster, since time.Duration) {
	t.Helper()
	history, err := fleet.History()
	if err != nil {
		t.Error(err)
	}
	for _, h := range history {
		if h.AtMillis > toMillis(since) && h.Event == "" && len(h.Members) < len(fleet.Relays) {
			t.Errorf("%s held a view of %v: a relay was removed falsely", h.Name, h.Members)
			return
		}
	}
}

// cutIncoming cuts all that comes to a relay; what it sends still arrives.
func cutIncoming(fleet *Cluster, i int) {
	for j := range fleet.Relays {
		fleet.Cut(j, i, j != i)
	}
	fleet.ApplyCuts()
}

// sendGarbage sends packets and streams to every relay: noise, and cut and oversized messages.
func sendGarbage(t *testing.T, fleet *Cluster) {
	t.Helper()
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

// A fleet starts in lots, doubles, is restarted two relays at a time, and halves; it agrees after each.
func TestFleetGrowsAndShrinks(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 8, BootstrapSize: 4}, 4)
	await(t, waitLimit(), "four", fleet.checkSettled)
	for i := 4; i < 8; i++ {
		fleet.Start(i)
		if i == 5 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	await(t, waitLimit()+10*time.Second, "eight", fleet.checkSettled)
	for pair := range 4 {
		for i := range 2 {
			if pair%2 == 0 {
				fleet.Kill(2*pair + i)
			} else {
				fleet.Terminate(2*pair + i)
			}
		}
		time.Sleep(200 * time.Millisecond)
		for i := range 2 {
			fleet.Start(2*pair + i)
		}
		await(t, waitLimit(), "after two", fleet.checkAgreed)
	}
	for i := 7; i > 3; i-- {
		fleet.Terminate(i)
	}
	await(t, waitLimit()+10*time.Second, "four again", fleet.checkSettled)
	latest, err := fleet.Latest()
	if err != nil {
		t.Fatal(err)
	}
	if s := latest["r0"].NearShare; s < 0.249 || s > 0.251 {
		t.Errorf("a share of four is %v", s)
	}
}

// Two fleets whose seeds name each other, one of another deployment and one with another key, are never
// merged.
func TestFleetsAreNotMerged(t *testing.T) {
	key := func(b byte) string {
		return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune(b)), 32))) + "\n"
	}
	for name, c := range map[string]struct {
		other  Layout
		reason string // of the packets that are dropped
	}{
		"another site": {Layout{Relays: 3, Deployment: "elsewhere", Keys: key('a')}, "foreign"},
		"another key":  {Layout{Relays: 3, Keys: key('b')}, "unsealed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newCluster(t, Layout{Relays: 3, Keys: key('a')}, 0)
			b := newCluster(t, c.other, 0)
			addSeeds(t, a, b.Relays[:2])
			addSeeds(t, b, a.Relays[:2])
			startAll(t, a)
			startAll(t, b)
			await(t, waitLimit(), "the one", a.checkSettled)
			await(t, waitLimit(), "the other", b.checkSettled)
			await(t, waitLimit(), "the drops are counted", func() error { return checkDropped(a, c.reason) })
			if err := a.checkSettled(); err != nil {
				t.Error(err)
			}
		})
	}
}

// addSeeds puts relays before the seeds in a fleet's members' files.
func addSeeds(t *testing.T, fleet *Cluster, relays []*Relay) {
	t.Helper()
	seeds := "seeds = ["
	for _, r := range relays {
		seeds += fmt.Sprintf("%q, ", r.Gossip)
	}
	for _, r := range fleet.Relays {
		text, err := os.ReadFile(r.path("members.toml"))
		if err != nil {
			t.Fatal(err)
		}
		text = []byte(strings.Replace(string(text), "seeds = [", seeds, 1))
		if err := os.WriteFile(r.path("members.toml"), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// checkDropped fails unless a relay of a fleet says that it has dropped packets for a reason.
func checkDropped(fleet *Cluster, reason string) error {
	for _, r := range fleet.Relays {
		out, _ := exec.Command(programPath, "members", "list", "--socket", r.Socket).Output()
		if text := string(out); strings.Contains(text, "dropped:") && strings.Contains(text, reason) {
			return nil
		}
	}
	return fmt.Errorf("nothing was dropped as %s", reason)
}
