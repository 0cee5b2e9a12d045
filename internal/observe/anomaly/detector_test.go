package anomaly

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// kindOf is the kind that a server's anomaly ends with.
func kindOf(what string) Kind {
	for k := range kindCount {
		if strings.HasSuffix(what, " "+k.String()) {
			return k
		}
	}
	return RelayChanged
}

// everyKindSeeds are those of TestEveryKindIsFoundAlone. At 50 the peers' load falls while a server that answers
// late goes on with the numbers of before.
var everyKindSeeds = []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 50}

// Every kind of fault, several at once on different servers, is found at its own server, and nothing else is.
func TestEveryKindIsFoundAlone(t *testing.T) {
	worst := map[Kind]float64{}
	for _, seed := range everyKindSeeds {
		s := newScene(seed, 12)
		s.swing = 0.5
		s.run(30_000)
		if len(s.began) != 0 {
			t.Fatalf("seed %d: calm at first: %+v", seed, s.began)
		}
		s.hosts[0].silent, s.hosts[1].erring, s.hosts[2].late, s.hosts[3].slow = true, true, true, 12
		s.run(12_000)
		s.hosts[0].silent, s.hosts[1].erring, s.hosts[2].late, s.hosts[3].slow = false, false, false, 0
		s.run(20_000)
		s.hosts[4].refusing = true
		s.fault(5, UnannouncedDrain, func(_ *host) { s.breaks(5, decide.Cancelled) })
		s.fault(6, UnevenLoad, func(h *host) { h.extra = 0.8 })
		s.fault(7, FrozenReport, func(h *host) { h.frozen = true })
		s.run(14_000)
		s.hosts[4].refusing, s.hosts[6].extra, s.hosts[7].frozen = false, 0, false
		s.run(20_000)
		for i := 8; i <= 9; i++ {
			s.hosts[i].dead = true
			s.breaks(i, decide.Reset)
		}
		s.run(3000)
		s.hosts[9].dead = false
		s.visible["s9 "+UnannouncedRestart.String()] = s.now
		s.run(4000)
		for range 4 {
			s.list(10, decide.Draining, 0)
			s.run(1500)
			s.list(10, decide.Ready, 0)
			s.visible["s10 flapping"] = s.now
			s.run(1500)
		}
		s.list(8, decide.Removed, 0) // and now the list says so
		for range 3 {
			s.put(-1, recorder.Record{Kind: recorder.EndpointListUnreachable})
			s.visible[" list out of reach"] = s.now
			s.run(400)
		}
		s.list(11, decide.Draining, 0) // announced: no event
		s.breaks(11, decide.Cancelled)
		s.run(6000)
		s.list(11, decide.Removed, 0)
		s.list(11, decide.Ready, s.now-100)
		s.run(120_000)
		found := s.found()
		for what, at := range s.visible {
			if _, ok := found[what]; !ok {
				t.Errorf("seed %d: %q was not found", seed, what)
				continue
			}
			k := kindOf(what)
			worst[k] = max(worst[k], s.noticed[what]-at)
		}
		for what, from := range found {
			if _, ok := s.visible[what]; !ok && what != "s7 uneven load" { // what a frozen report leads to
				t.Errorf("seed %d: %q at %.0f did not happen", seed, what, from)
			}
		}
		if left := s.detector.ActiveEvents(); len(left) != 0 {
			t.Errorf("seed %d: still there long after: %+v", seed, left)
		}
		ends := map[string]int{}
		for _, c := range s.began {
			if c.To != 0 {
				ends[c.Server+c.Kind.String()]++
			}
		}
		for what, n := range ends {
			if n != 1 {
				t.Errorf("seed %d: %s began and ended %d times", seed, what, n)
			}
		}
	}
	for k := range kindCount {
		t.Logf("%-18s told %5.0f ms after it could be seen, at most", k, worst[k])
		mustLast := k == UnevenLoad || k == FrozenReport // they are there only once they have lasted
		if !mustLast && worst[k] > 1000 {
			t.Errorf("%v: told only after %.0f ms", k, worst[k])
		}
	}
}

// Calm days whose load swings and jitters: no event at all.
func TestCalmDaysHaveNoEvent(t *testing.T) {
	for seed := range uint64(10) {
		s := newScene(100+seed, 8+int(seed))
		s.swing = 0.2 + 0.06*float64(seed)
		s.jitter = 0.3 + 0.05*float64(seed)
		s.period = 20_000 + 10_000*float64(seed)
		s.run(180_000)
		for _, c := range s.began {
			t.Errorf("seed %d: %+v", seed, c)
		}
	}
}

// What all of the fleet does at once is one event of the fleet.
func TestWhatMostDoIsTheFleets(t *testing.T) {
	for what, f := range map[Kind]func(h *host){
		SlowSetup:    func(h *host) { h.slow = 15 },
		Unresponsive: func(h *host) { h.silent = true },
		ErrorBurst:   func(h *host) { h.erring = true },
	} {
		s := newScene(7, 10)
		s.run(30_000)
		for _, h := range s.hosts {
			f(h)
		}
		s.run(10_000)
		fleet, single := 0, 0
		for _, c := range s.began {
			switch {
			case c.To != 0:
			case c.Server == "" && c.Kind == what:
				fleet++
			case c.Kind == what:
				single++
			default:
				t.Errorf("%v: %+v", what, c)
			}
		}
		if fleet != 1 || single > len(s.hosts)/2 {
			t.Errorf("%v: %d events of the fleet, %d of servers", what, fleet, single)
		}
	}
}

// Servers that come and go by thousands leave bounded memory, and no events.
func TestManyServersAreBounded(t *testing.T) {
	d := New(50, time.Unix(0, 0).Add)
	for i := range 20_000 {
		at := 1000*time.Second + time.Duration(i)*10*time.Millisecond
		r := recorder.Record{At: at, Kind: recorder.EndpointChanged, EndpointState: decide.Ready, StartedAt: at}
		d.Observe(fmt.Sprint("id", i), &r)
		r = recorder.Record{At: at + 5*time.Millisecond, Kind: recorder.EndpointChanged, EndpointState: decide.Removed}
		d.Observe(fmt.Sprint("id", i), &r)
		if out := d.Tick(r.At, nil); len(out) != 0 {
			t.Fatalf("%+v", out)
		}
	}
	if len(d.order) != 50 || len(d.servers) != 50 {
		t.Errorf("%d servers are kept", len(d.servers))
	}
}

// A kind that is not one of ours, from a store of another version, says so.
func TestUnknownKindSaysSo(t *testing.T) {
	if got := Kind(99).String(); got != "unknown kind 99" {
		t.Error(got)
	}
}
