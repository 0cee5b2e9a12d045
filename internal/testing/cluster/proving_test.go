package cluster

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"capersail/internal/testing/faultpoint"
)

// program is the program with its seams, built once.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proving")
	if err == nil {
		program, err = Build("../../..", dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func long() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// patience is how long a condition is waited for before a test fails. What is promised is 5 s, and the long run
// holds the relays to that; a busy machine that runs all packages' tests at once gets more.
func patience() time.Duration {
	if long() {
		return 5 * time.Second
	}
	return 25 * time.Second
}

// lay lays a ground out and starts its first relays; at the end it checks that no shares ever added up to over one.
func lay(t *testing.T, p Plan, start int) *Cluster {
	t.Helper()
	p.Program, p.Dir = program, t.TempDir()
	g, err := New(p, "../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		g.Close()
		all, err := g.Histories()
		if most, at := MostTaken(all); err != nil || most > 1+1e-9 && !p.Unsafe {
			t.Errorf("%v; the shares added up to %v:\n%s", err, most, Tail(all, at, 6000))
		}
		if t.Failed() {
			for _, r := range g.Relays {
				log := r.Log()
				t.Logf("%s: ... %s", r.Name, log[max(0, len(log)-3000):])
			}
		}
	})
	for i := range start {
		if err := g.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	return g
}

// startAll starts all relays of a ground.
func startAll(t *testing.T, g *Cluster) {
	t.Helper()
	for i := range g.Relays {
		if err := g.Start(i); err != nil {
			t.Fatal(err)
		}
	}
}

// load has clients come to a ground's relays, so many a second and each for so long, until the test ends. It returns what they met.
func load(t *testing.T, g *Cluster, rate float64, hold time.Duration) *Tally {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	tally, done := &Tally{}, make(chan struct{})
	go func() {
		defer close(done)
		g.Load(ctx, 1, rate, hold, tally)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return tally
}

// await fails the test if a condition does not come to hold, and returns how long it took.
func await(t *testing.T, within time.Duration, what string, check func() error) time.Duration {
	t.Helper()
	took, err := Await(within, check)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	return took
}

func (g *Cluster) agreed() error  { return g.Agree(false) }
func (g *Cluster) settled() error { return g.Agree(true) }

// without tells whether no relay that runs has one in its view.
func (g *Cluster) without(gone int) error {
	last, err := g.Last()
	if err != nil {
		return err
	}
	for i, r := range g.Relays {
		for _, name := range last[r.Name].Members {
			if i != gone && r.up && name == g.Relays[gone].Name {
				return fmt.Errorf("%s still has %s in epoch %d", r.Name, name, last[r.Name].Epoch)
			}
		}
	}
	return nil
}

// Seven relays through every fault, each fault on a fleet of its own: after the heal all that run hold one view of
// just them, and at no moment do the shares add up to over one (lay checks that).
func TestRelaysAgreeThroughFaults(t *testing.T) {
	const n = 7
	pause := func(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }
	all := func(t *testing.T, g *Cluster, do string, value float64) {
		if err := g.Play([]Step{{Do: do, Value: value}}); err != nil {
			t.Fatal(err)
		}
	}
	split := func(parts ...int) func(*testing.T, *Cluster) {
		return func(_ *testing.T, g *Cluster) {
			g.Split(parts)
			g.Apply()
			pause(6000)
		}
	}
	lossFor := 12_000
	if long() {
		lossFor = 60_000
	}
	for what, disturb := range map[string]func(*testing.T, *Cluster){
		"halves":             split(0, 0, 0, 0, 1, 1, 1),
		"majority, minority": split(0, 0, 0, 0, 0, 1, 1),
		"three ways":         split(0, 0, 1, 1, 2, 2, 2),
		"A does not hear B":  func(_ *testing.T, g *Cluster) { g.Cut(1, 0, true); g.Apply(); pause(5000) },
		"one hears nobody":   func(_ *testing.T, g *Cluster) { cutIn(g, 2); pause(6000) },
		"stopped, then woken": func(t *testing.T, g *Cluster) {
			g.Stop(3)
			await(t, patience(), "out", func() error { return g.without(3) })
			g.Cont(3)
		},
		"killed and back at once": func(t *testing.T, g *Cluster) {
			all(t, g, "late", 0.1) // packets of the first life come in the second
			pause(500)
			g.Kill(0)
			pause(500)
			if err := g.Start(0); err != nil {
				t.Fatal(err)
			}
			pause(2000)
		},
		"killed for good": func(t *testing.T, g *Cluster) {
			g.Kill(1)
			took := await(t, patience(), "out of all views", func() error { return g.without(1) })
			t.Logf("out of all views after %v", took.Round(10*time.Millisecond))
		},
		"half killed, back at once": func(_ *testing.T, g *Cluster) {
			for i := range 4 {
				g.Kill(i)
			}
			for i := range 4 {
				g.Start(i)
			}
		},
		"a fifth lost": func(t *testing.T, g *Cluster) {
			all(t, g, "loss", 0.2)
			began := Now()
			pause(lossFor)
			kept(t, g, began)
		},
		"clocks 5% off, and a cut": func(t *testing.T, g *Cluster) {
			for i := range g.Relays {
				g.Play([]Step{{Do: "rate", Who: i, Value: []float64{0.95, 1.05, 1}[i%3]}})
			}
			g.Rule(6, func(r *faultpoint.Rules) { r.StepMs = 3_600_000 }) // and the clock of the day an hour ahead
			g.Kill(6)
			g.Start(6)
			split(0, 0, 0, 0, 1, 1, 1)(t, g)
		},
		"delay, doubling, old packets": func(t *testing.T, g *Cluster) {
			all(t, g, "delay", 80)
			all(t, g, "twice", 0.2)
			all(t, g, "late", 0.05)
			g.Kill(2)
			pause(4000)
			g.Start(2)
			pause(2000)
		},
		"other versions' digests": func(t *testing.T, g *Cluster) {
			for i := range g.Relays {
				g.Rule(i, func(r *faultpoint.Rules) { r.Digest = []int{0, -1, 1}[i%3] })
			}
			g.Kill(1)
			pause(500)
			g.Start(1)
			pause(3000)
			if err := g.agreed(); err != nil {
				t.Errorf("with digests of three versions: %v", err)
			}
		},
		"a crowd of garbage": func(t *testing.T, g *Cluster) {
			began := Now()
			garbage(t, g)
			pause(1000)
			kept(t, g, began)
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			g := lay(t, Plan{Relays: n}, n)
			formed := await(t, patience()+10*time.Second, "at first", g.settled)
			disturb(t, g)
			if err := g.Heal(); err != nil {
				t.Fatal(err)
			}
			healed := await(t, patience(), "after the heal", g.agreed)
			settled := await(t, patience()+5*time.Second, "and then", g.settled)
			t.Logf("agreed %.1f s after the start; one view %.2f s after the heal, settled %.1f s later", formed.Seconds(), healed.Seconds(), settled.Seconds())
		})
	}
}

// kept checks that since a moment no relay was told a view without one of the ground's: all of them run, and a majority
// hears each.
func kept(t *testing.T, g *Cluster, since float64) {
	t.Helper()
	history, err := g.Histories()
	if err != nil {
		t.Error(err)
	}
	for _, h := range history {
		if h.T > since && h.Event == "" && len(h.Members) < len(g.Relays) {
			t.Errorf("%s was told a view of %v: somebody was removed falsely", h.Name, h.Members)
			return
		}
	}
}

// cutIn cuts all that comes to a relay; what it says still gets out.
func cutIn(g *Cluster, i int) {
	for j := range g.Relays {
		g.Cut(j, i, j != i)
	}
	g.Apply()
}

// garbage throws packets and streams at every relay: noise, cut and oversized messages, and what was sent before.
func garbage(t *testing.T, g *Cluster) {
	for i, r := range g.Relays {
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
	g := lay(t, Plan{Relays: 8, Founders: 4}, 4)
	await(t, patience(), "four", g.settled)
	for i := 4; i < 8; i++ {
		g.Start(i)
		if i == 5 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	await(t, patience()+10*time.Second, "eight", g.settled)
	for lot := range 4 { // two of eight at a time, while the others go on
		for i := range 2 {
			if lot%2 == 0 {
				g.Kill(2*lot + i)
			} else {
				g.Term(2*lot + i)
			}
		}
		time.Sleep(200 * time.Millisecond)
		for i := range 2 {
			g.Start(2*lot + i)
		}
		await(t, patience(), "after a lot", g.agreed)
	}
	for i := 7; i > 3; i-- {
		g.Term(i)
	}
	await(t, patience()+10*time.Second, "four again", g.settled)
	last, _ := g.Last()
	if s := last["r0"].Share; s < 0.249 || s > 0.251 {
		t.Errorf("a share of four is %v", s)
	}
}

// Two fleets whose seeds name each other, one of another site and one with another key, are never merged.
func TestFleetsAreNotMerged(t *testing.T) {
	key := func(b byte) string {
		return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune(b)), 32))) + "\n"
	}
	for what, other := range map[string]Plan{"another site": {Relays: 3, Site: "elsewhere", Keys: key('a')}, "another key": {Relays: 3, Keys: key('b')}} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			a, b := lay(t, Plan{Relays: 3, Keys: key('a')}, 0), lay(t, other, 0)
			for i, g := range []*Cluster{a, b} {
				for _, r := range g.Relays {
					text, _ := os.ReadFile(r.file("members.toml"))
					seeds := fmt.Sprintf("seeds = [%q, %q, ", []*Cluster{b, a}[i].Relays[0].Gossip, []*Cluster{b, a}[i].Relays[1].Gossip)
					os.WriteFile(r.file("members.toml"), []byte(strings.Replace(string(text), "seeds = [", seeds, 1)), 0o600)
				}
				for j := range g.Relays {
					g.Start(j)
				}
			}
			await(t, patience(), "the one", a.settled)
			await(t, patience(), "the other", b.settled)
			reason := map[string]string{"another site": "foreign", "another key": "unsealed"}[what]
			await(t, patience(), "the drops are counted", func() error {
				for _, r := range a.Relays {
					if out, _ := exec.Command(program, "members", "list", "--socket", r.Socket).Output(); strings.Contains(string(out), "dropped:") && strings.Contains(string(out), reason) {
						return nil
					}
				}
				return fmt.Errorf("nothing was dropped as %s", reason)
			})
			if err := a.settled(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Drawn schedules. CAPERSAIL_REPLAY names a file with one to be played instead.
func TestDrawnSchedules(t *testing.T) {
	seeds := 2
	if long() {
		seeds = 40
	}
	play := func(t *testing.T, all []Step) {
		g := lay(t, Plan{Relays: 7}, 7)
		await(t, patience()+10*time.Second, "at first", g.settled)
		file := filepath.Join(os.TempDir(), strings.ReplaceAll(t.Name(), "/", "-")+".json")
		Write(file, all)
		defer func() {
			if !t.Failed() {
				os.Remove(file)
				return
			}
			t.Logf("to play it again: CAPERSAIL_REPLAY=%s go test ./internal/testing/cluster -run TestDrawnSchedules", file)
		}()
		if err := g.Play(all); err != nil {
			t.Fatal(err)
		}
		for i := range g.Relays {
			g.Start(i)
		}
		if err := g.Heal(); err != nil {
			t.Fatal(err)
		}
		t.Logf("one view %v after the heal", await(t, patience()+5*time.Second, "after the heal", g.agreed).Round(10*time.Millisecond))
	}
	if file := os.Getenv("CAPERSAIL_REPLAY"); file != "" {
		all, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		play(t, all)
		return
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if !long() || seed%4 != 3 {
				t.Parallel()
			}
			play(t, Draw(seed, 7, 14))
		})
	}
}

// The checker finds a sum over one, and does not find one where a share has lapsed or its process has ended.
func TestMostTaken(t *testing.T) {
	line := func(at float64, name string, share, until float64) faultpoint.Noted {
		return faultpoint.Noted{T: at, Name: name, Share: share, Until: until}
	}
	for want, all := range map[float64][]faultpoint.Noted{
		1.5: {line(0, "a", 0.5, 0), line(1, "b", 1, 9)},
		1:   {line(0, "a", 0.5, 1), line(2, "b", 1, 9)},
		0.9: {line(0, "a", 0.5, 0), {T: 1, Name: "a", Event: "kill"}, line(2, "b", 0.9, 9)},
	} {
		if got, _ := MostTaken(all); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
}

// The shipped program has no seams.
func TestShippedProgramHasNoSeams(t *testing.T) {
	dir := t.TempDir()
	shipped := filepath.Join(dir, "capersail")
	cmd := exec.Command("go", "build", "-o", shipped, "./cmd/capersail")
	cmd.Dir = "../../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for path, want := range map[string]bool{shipped: false, program: true} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, mark := range []string{"CAPERSAIL_FAULTS", "capersail/internal/testing/faultpoint"} {
			if got := strings.Contains(string(text), mark); got != want {
				t.Errorf("%s in %s: %v", mark, filepath.Base(path), got)
			}
		}
	}
}
