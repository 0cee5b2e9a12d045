package anomaly

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// The model fleet: servers with connections, reports that are refreshed now and then, probes and set-ups, in
// a time of its own. It makes the records that a request table would. Faults are switches on a server.
type host struct {
	name     string
	listed   bool
	capacity float64
	open     []float64 // when each connection ends
	report   float64   // as refreshed last
	refresh  float64
	probeAt  float64

	silent, dead, late, frozen, erring, refusing bool
	slow                                         float64 // factor on set-ups
	extra                                        float64 // load that is not this relay's
}

type scene struct {
	detector *Detector
	rng      *rand.Rand
	now      float64 // ms, as all times of the model
	hosts    []*host
	rate     float64 // arrivals a second
	swing    float64 // how much the rate swings
	period   float64
	jitter   float64 // of set-up times, as a sigma of their logarithm
	next     float64
	began    []Change
	visible  map[string]float64 // when a fault could first be seen, by server and kind
	noticed  map[string]float64 // when its event was reported
	seen     map[string]int     // pieces of evidence so far
}

// looksWell tells whether a relay would place requests there.
func (h *host) looksWell() bool { return h.listed && !h.dead && !h.silent }

func duration(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

func newScene(seed uint64, hosts int) *scene {
	s := &scene{
		detector: New(100, time.Unix(0, 0).Add),
		rng:      rand.New(rand.NewPCG(seed, 3)),
		now:      1e6,
		rate:     3.5 * float64(hosts),
		jitter:   0.4,
		period:   20_000,
		visible:  map[string]float64{},
		noticed:  map[string]float64{},
		seen:     map[string]int{},
	}
	for i := range hosts {
		h := &host{name: fmt.Sprint("s", i), listed: true, capacity: 90 + 40*s.rng.Float64()}
		s.hosts = append(s.hosts, h)
		s.put(i, recorder.Record{Kind: recorder.EndpointChanged, EndpointState: decide.Ready})
	}
	return s
}

func (s *scene) put(i int, r recorder.Record) {
	r.At, r.Server = duration(s.now), int32(i)
	name := ""
	if i >= 0 {
		name = s.hosts[i].name
	}
	s.detector.Observe(name, &r)
}

func (s *scene) list(i int, mode decide.EndpointState, since float64) {
	s.hosts[i].listed = mode == decide.Ready
	s.put(i, recorder.Record{Kind: recorder.EndpointChanged, EndpointState: mode, StartedAt: duration(since)})
}

// run lets time pass, 5 ms at a time.
func (s *scene) run(ms float64) {
	for end := s.now + ms; s.now < end; {
		s.now += 5
		for i, h := range s.hosts {
			h.open = slices.DeleteFunc(h.open, func(at float64) bool {
				over := at <= s.now
				if over {
					s.put(i, recorder.Record{
						Kind:         recorder.AttemptEnded,
						Status:       decide.Cancelled,
						Initiator:    recorder.Client,
						WasConnected: true,
					})
				}
				return over
			})
			if s.now >= h.refresh {
				h.refresh = s.now + 320 + 1080*s.rng.Float64()
				if !h.frozen && !h.late {
					load := float64(len(h.open)) / h.capacity * (1 + 0.1*s.rng.NormFloat64())
					h.report = max(0, math.Round(1000*(load+h.extra))/1000)
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
		reported := len(s.began)
		s.began = s.detector.Tick(duration(s.now), s.began)
		for _, c := range s.began[reported:] {
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
	r := recorder.Record{
		Kind:    recorder.ProbeEnded,
		Status:  decide.OK,
		Load:    float32(h.report),
		Elapsed: duration(0.3 + 0.3*s.rng.ExpFloat64()),
	}
	switch {
	case h.dead:
		r.Status = decide.ConnectFailed
		s.evidence(h, Unreachable, 2)
	case h.silent:
		r.Status = decide.TimedOut
		s.evidence(h, Unresponsive, 2)
	case h.late:
		s.evidence(h, LateProbeReplies, 2)
		r.Elapsed = duration(100 + 80*s.rng.Float64())
	}
	s.put(i, r)
}

func (s *scene) arrive() {
	i := s.rng.IntN(len(s.hosts))
	for j := range s.hosts { // the less loaded of two that look well
		k := s.rng.IntN(len(s.hosts))
		h, o := s.hosts[i], s.hosts[k]
		if o.looksWell() && (!h.looksWell() || o.report < h.report) {
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
		s.evidence(h, RejectingAll, burstMin)
	case h.erring:
		end.Status = decide.Errored
		s.evidence(h, ErrorBurst, burstMin)
	default:
		took := 3 * math.Exp(s.jitter*s.rng.NormFloat64()) * max(1, h.slow)
		s.put(i, recorder.Record{Kind: recorder.ConnectionUp, Elapsed: duration(took)})
		if h.slow > 0 {
			s.evidence(h, SlowSetup, slowSamplesMin)
		}
		h.open = append(h.open, s.now+5000+15_000*s.rng.ExpFloat64())
		return
	}
	s.put(i, end)
}

// breaks resets all connections of a host.
func (s *scene) breaks(i int, status decide.Status) {
	for range s.hosts[i].open {
		s.put(i, recorder.Record{
			Kind:         recorder.AttemptEnded,
			Status:       status,
			Initiator:    recorder.Server,
			WasConnected: true,
		})
	}
	s.hosts[i].open = nil
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
