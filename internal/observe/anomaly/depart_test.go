package anomaly

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// The model fleet: servers with connections, reports that are refreshed now and then, probes and set-ups, in a time
// of its own. It makes the records that an Exchange would. Faults are switches on a server.
type host struct {
	name     string
	listed   bool
	capacity float64
	held     []float64 // when each connection ends
	report   float64   // as refreshed last
	refresh  float64
	probeAt  float64

	silent, dead, late, frozen, erring, refusing bool
	slow                                         float64 // factor on set-ups
	extra                                        float64 // load that is not this relay's
}

type scene struct {
	w       *Detector
	rng     *rand.Rand
	now     float64
	hosts   []*host
	rate    float64 // arrivals a second
	swing   float64 // how much the rate swings
	period  float64
	jitter  float64 // of set-up times, as a sigma of their logarithm
	next    float64
	began   []Change
	visible map[string]float64 // when a fault could first be seen, by server and kind
	noticed map[string]float64 // when its event was told
	seen    map[string]int     // pieces of evidence so far
}

func newScene(seed uint64, hosts int) *scene {
	s := &scene{w: New(100), rng: rand.New(rand.NewPCG(seed, 3)), now: 1e6, rate: 3.5 * float64(hosts), jitter: 0.4, period: 20_000, visible: map[string]float64{},
		noticed: map[string]float64{}, seen: map[string]int{}}
	for i := range hosts {
		h := &host{name: fmt.Sprint("s", i), listed: true, capacity: 90 + 40*s.rng.Float64()}
		s.hosts = append(s.hosts, h)
		s.put(i, recorder.Record{Kind: recorder.EndpointChanged, Mode: decide.Ready})
	}
	return s
}

func (s *scene) put(i int, r recorder.Record) {
	r.At, r.Server = s.now, int32(i)
	name := ""
	if i >= 0 {
		name = s.hosts[i].name
	}
	s.w.Observe(name, &r)
}

func (s *scene) list(i int, mode decide.EndpointState, since float64) {
	s.hosts[i].listed = mode == decide.Ready
	s.put(i, recorder.Record{Kind: recorder.EndpointChanged, Mode: mode, StartedAt: since})
}

// run lets time pass, 5 ms at a time.
func (s *scene) run(ms float64) {
	for end := s.now + ms; s.now < end; {
		s.now += 5
		for i, h := range s.hosts {
			h.held = slices.DeleteFunc(h.held, func(at float64) bool {
				over := at <= s.now
				if over {
					s.put(i, recorder.Record{Kind: recorder.AttemptEnded, Status: decide.Cancelled, Initiator: recorder.Client, WasConnected: true})
				}
				return over
			})
			if s.now >= h.refresh {
				h.refresh = s.now + 320 + 1080*s.rng.Float64()
				if !h.frozen && !h.late {
					h.report = math.Round(1000*(float64(len(h.held))/h.capacity*(1+0.1*s.rng.NormFloat64())+h.extra)) / 1000
					h.report = max(0, h.report)
				}
			}
			if h.listed && s.now >= h.probeAt {
				s.probe(i, h)
			}
		}
		rate := s.rate * (1 + s.swing*math.Sin(2*math.Pi*s.now/s.period))
		for ; s.next <= s.now; s.next = max(s.next, s.now-5) + s.rng.ExpFloat64()*1000/rate {
			s.arrive()
		}
		told := len(s.began)
		s.began = s.w.Tick(s.now, s.began)
		for _, c := range s.began[told:] {
			if c.To == 0 {
				s.noticed[c.Server+" "+c.Kind.String()] = s.now
			}
		}
	}
}

// evidence counts what could be seen of a fault; with the last piece that a pattern wants it is visible.
func (s *scene) evidence(h *host, k Kind, wanted int) {
	what := h.name + " " + k.String()
	if s.seen[what]++; s.seen[what] == wanted {
		s.visible[what] = s.now
	}
}

func (s *scene) probe(i int, h *host) {
	h.probeAt = s.now + 600 + 600*s.rng.Float64()
	r := recorder.Record{Kind: recorder.ProbeEnded, Status: decide.OK, Load: float32(h.report), Elapsed: 0.3 + 0.3*s.rng.ExpFloat64()}
	switch {
	case h.dead:
		r.Status = decide.ConnectFailed
		s.evidence(h, Unreachable, 2)
	case h.silent:
		r.Status = decide.TimedOut
		s.evidence(h, Unresponsive, 2)
	case h.late:
		s.evidence(h, LateProbeReplies, 2)
		r.Elapsed = 100 + 80*s.rng.Float64()
	}
	s.put(i, r)
}

func (s *scene) arrive() {
	i := s.rng.IntN(len(s.hosts))
	for j := range s.hosts { // the less loaded of two that look well
		k := s.rng.IntN(len(s.hosts))
		if h, o := s.hosts[i], s.hosts[k]; o.listed && !o.dead && !o.silent && (!h.listed || h.dead || h.silent || o.report < h.report) {
			i = k
		}
		if j > 2 && s.hosts[i].listed {
			break
		}
	}
	h := s.hosts[i]
	if !h.listed {
		return
	}
	s.put(i, recorder.Record{Kind: recorder.AttemptStarted})
	end := recorder.Record{Kind: recorder.AttemptEnded, Initiator: recorder.Server}
	switch {
	case h.dead:
		end.Status = decide.ConnectFailed
		s.evidence(h, Unreachable, 2)
	case h.silent:
		end.Status = decide.TimedOut
	case h.refusing:
		end.Status = decide.AtCapacity
		s.evidence(h, RejectingAll, burst)
	case h.erring:
		end.Status = decide.Errored
		s.evidence(h, ErrorBurst, burst)
	default:
		took := 3 * math.Exp(s.jitter*s.rng.NormFloat64()) * max(1, h.slow)
		s.put(i, recorder.Record{Kind: recorder.ConnectionUp, Elapsed: took})
		if h.slow > 0 {
			s.evidence(h, SlowSetup, slowSamples)
		}
		h.held = append(h.held, s.now+5000+15_000*s.rng.ExpFloat64())
		return
	}
	s.put(i, end)
}

// breaks resets all connections of a host.
func (s *scene) breaks(i int, status decide.Status) {
	for range s.hosts[i].held {
		s.put(i, recorder.Record{Kind: recorder.AttemptEnded, Status: status, Initiator: recorder.Server, WasConnected: true})
	}
	s.hosts[i].held = nil
}

func (s *scene) fault(i int, k Kind, f func(h *host)) {
	s.visible[fmt.Sprint(s.hosts[i].name, " ", k)] = s.now
	f(s.hosts[i])
}

// found lists the events that began, by server and kind.
func (s *scene) found() map[string]float64 {
	all := map[string]float64{}
	for _, c := range s.began {
		if c.To == 0 {
			all[c.Server+" "+c.Kind.String()] = c.From
		}
	}
	return all
}

// Every kind of fault, several at once on different servers, is found on its own line, and nothing else is.
func TestEveryKind(t *testing.T) {
	worst := map[Kind]float64{}
	for seed := range uint64(12) {
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
		s.list(11, decide.Draining, 0) // with word: no event
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
			i := slices.IndexFunc(kindNames[:], func(n string) bool { return strings.HasSuffix(what, " "+n) })
			worst[Kind(i)] = max(worst[Kind(i)], s.noticed[what]-at)
		}
		for what, from := range found {
			if _, ok := s.visible[what]; !ok && what != "s7 uneven load" { // what a frozen report leads to
				t.Errorf("seed %d: %q at %.0f did not happen", seed, what, from)
			}
		}
		if left := s.w.Active(); len(left) != 0 {
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
		if k != UnevenLoad && k != FrozenReport && worst[k] > 1000 { // these two are there only once they have lasted
			t.Errorf("%v: told only after %.0f ms", k, worst[k])
		}
	}
}

// Calm days whose load swings and jitters: no event at all.
func TestCalm(t *testing.T) {
	for seed := range uint64(10) {
		s := newScene(100+seed, 8+int(seed))
		s.swing, s.jitter, s.period = 0.2+0.06*float64(seed), 0.3+0.05*float64(seed), 20_000+10_000*float64(seed)
		s.run(180_000)
		for _, c := range s.began {
			t.Errorf("seed %d: %+v", seed, c)
		}
	}
}

// What the whole fleet does at once is one event of the fleet.
func TestFleet(t *testing.T) {
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
func TestManyIDs(t *testing.T) {
	w := New(50)
	for i := range 20_000 {
		r := recorder.Record{At: 1e6 + float64(i)*10, Kind: recorder.EndpointChanged, Mode: decide.Ready, StartedAt: 1e6 + float64(i)*10}
		w.Observe(fmt.Sprint("id", i), &r)
		r = recorder.Record{At: r.At + 5, Kind: recorder.EndpointChanged, Mode: decide.Removed}
		w.Observe(fmt.Sprint("id", i), &r)
		if out := w.Tick(r.At, nil); len(out) != 0 {
			t.Fatalf("%+v", out)
		}
	}
	if len(w.order) != 50 || len(w.servers) != 50 {
		t.Errorf("%d servers are kept", len(w.servers))
	}
}
