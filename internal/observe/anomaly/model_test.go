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

// modelServer is a server of the model: its connections, its load report, which is refreshed at times, its
// probes and its set-ups. Its switches inject faults.
type modelServer struct {
	name           string
	listed         bool
	capacity       float64
	connectionEnds []float64 // when each connection ends
	reportedLoad   float64   // load of the newest load report
	refreshAt      float64
	probeAt        float64

	unresponsive, dead, late, frozen, failing, rejecting bool
	setupFactor                                          float64 // multiplies set-up times
	extraLoad                                            float64 // load from other sources than this relay
}

// fleetModel is a model of a fleet with a simulated clock. It makes the records that a request table would
// make.
type fleetModel struct {
	detector       *Detector
	rng            *rand.Rand
	now            float64 // ms, like all times of the model
	servers        []*modelServer
	rate           float64 // arrivals per second
	rateSwing      float64 // relative amplitude of the rate's swing
	swingPeriod    float64
	setupSigma     float64 // standard deviation of the logarithm of set-up times
	nextArrival    float64
	changes        []Change
	visibleAt      map[string]float64 // when a fault became visible, by server and kind
	reportedAt     map[string]float64 // when the event of a fault was reported
	evidenceCounts map[string]int     // pieces of evidence so far, by server and kind
}

// acceptsRequests reports whether a relay would place requests on the server.
func (h *modelServer) acceptsRequests() bool { return h.listed && !h.dead && !h.unresponsive }

func durationFromMillis(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

func newFleetModel(seed uint64, hosts int) *fleetModel {
	s := &fleetModel{
		detector:       New(100, time.Unix(0, 0).Add),
		rng:            rand.New(rand.NewPCG(seed, 3)),
		now:            1e6,
		rate:           3.5 * float64(hosts),
		setupSigma:     0.4,
		swingPeriod:    20_000,
		visibleAt:      map[string]float64{},
		reportedAt:     map[string]float64{},
		evidenceCounts: map[string]int{},
	}
	for i := range hosts {
		h := &modelServer{name: fmt.Sprint("s", i), listed: true, capacity: 90 + 40*s.rng.Float64()}
		s.servers = append(s.servers, h)
		s.putRecord(i, recorder.Record{Kind: recorder.EndpointChanged, EndpointState: decide.Ready})
	}
	return s
}

func (s *fleetModel) putRecord(i int, r recorder.Record) {
	r.At, r.Server = durationFromMillis(s.now), int32(i)
	name := ""
	if i >= 0 {
		name = s.servers[i].name
	}
	s.detector.Observe(name, &r)
}

func (s *fleetModel) setEndpointState(i int, mode decide.EndpointState, since float64) {
	s.servers[i].listed = mode == decide.Ready
	s.putRecord(i, recorder.Record{Kind: recorder.EndpointChanged, EndpointState: mode,
		StartedAt: durationFromMillis(since)})
}

// run advances the model's time in steps of 5 ms.
func (s *fleetModel) run(ms float64) {
	for end := s.now + ms; s.now < end; {
		s.now += 5
		for i, h := range s.servers {
			h.connectionEnds = slices.DeleteFunc(h.connectionEnds, func(at float64) bool {
				over := at <= s.now
				if over {
					s.putRecord(i, recorder.Record{
						Kind:         recorder.AttemptEnded,
						Status:       decide.Cancelled,
						Initiator:    recorder.Client,
						WasConnected: true,
					})
				}
				return over
			})
			if s.now >= h.refreshAt {
				h.refreshAt = s.now + 320 + 1080*s.rng.Float64()
				if !h.frozen && !h.late {
					load := float64(len(h.connectionEnds)) / h.capacity * (1 + 0.1*s.rng.NormFloat64())
					h.reportedLoad = max(0, math.Round(1000*(load+h.extraLoad))/1000)
				}
			}
			if h.listed && s.now >= h.probeAt {
				s.probe(i, h)
			}
		}
		rate := s.rate * (1 + s.rateSwing*math.Sin(2*math.Pi*s.now/s.swingPeriod))
		for ; s.nextArrival <= s.now; s.nextArrival = max(s.nextArrival, s.now-5) +
			s.rng.ExpFloat64()*1000/rate {
			s.arrive()
		}
		reported := len(s.changes)
		s.changes = s.detector.Tick(durationFromMillis(s.now), s.changes)
		for _, c := range s.changes[reported:] {
			if c.To == 0 {
				s.reportedAt[c.Server+" "+c.Kind.String()] = s.now
			}
		}
	}
}

// countEvidence counts a visible piece of evidence of a fault. With the last piece that the pattern needs,
// the fault is visible.
func (s *fleetModel) countEvidence(h *modelServer, k Kind, wanted int) {
	what := h.name + " " + k.String()
	if s.evidenceCounts[what]++; s.evidenceCounts[what] == wanted {
		s.visibleAt[what] = s.now
	}
}

func (s *fleetModel) probe(i int, h *modelServer) {
	h.probeAt = s.now + 600 + 600*s.rng.Float64()
	r := recorder.Record{
		Kind:    recorder.ProbeEnded,
		Status:  decide.OK,
		Load:    float32(h.reportedLoad),
		Elapsed: durationFromMillis(0.3 + 0.3*s.rng.ExpFloat64()),
	}
	switch {
	case h.dead:
		r.Status = decide.ConnectFailed
		s.countEvidence(h, Unreachable, 2)
	case h.unresponsive:
		r.Status = decide.TimedOut
		s.countEvidence(h, Unresponsive, 2)
	case h.late:
		s.countEvidence(h, LateProbeReplies, 2)
		r.Elapsed = durationFromMillis(100 + 80*s.rng.Float64())
	}
	s.putRecord(i, r)
}

func (s *fleetModel) arrive() {
	i := s.rng.IntN(len(s.servers))
	for j := range s.servers { // the less loaded of several servers that accept requests
		k := s.rng.IntN(len(s.servers))
		h, o := s.servers[i], s.servers[k]
		if o.acceptsRequests() && (!h.acceptsRequests() || o.reportedLoad < h.reportedLoad) {
			i = k
		}
		if j > 2 && s.servers[i].listed {
			break
		}
	}
	h := s.servers[i]
	if !h.listed {
		return
	}
	s.putRecord(i, recorder.Record{Kind: recorder.AttemptStarted})
	end := recorder.Record{Kind: recorder.AttemptEnded, Initiator: recorder.Server}
	switch {
	case h.dead:
		end.Status = decide.ConnectFailed
		s.countEvidence(h, Unreachable, 2)
	case h.unresponsive:
		end.Status = decide.TimedOut
	case h.rejecting:
		end.Status = decide.AtCapacity
		s.countEvidence(h, RejectingAll, minBurst)
	case h.failing:
		end.Status = decide.Errored
		s.countEvidence(h, ErrorBurst, minBurst)
	default:
		took := 3 * math.Exp(s.setupSigma*s.rng.NormFloat64()) * max(1, h.setupFactor)
		s.putRecord(i, recorder.Record{Kind: recorder.ConnectionUp, Elapsed: durationFromMillis(took)})
		if h.setupFactor > 0 {
			s.countEvidence(h, SlowSetup, minSlowSamples)
		}
		h.connectionEnds = append(h.connectionEnds, s.now+5000+15_000*s.rng.ExpFloat64())
		return
	}
	s.putRecord(i, end)
}

// endConnections ends all connections of a server with a status.
func (s *fleetModel) endConnections(i int, status decide.Status) {
	for range s.servers[i].connectionEnds {
		s.putRecord(i, recorder.Record{
			Kind:         recorder.AttemptEnded,
			Status:       status,
			Initiator:    recorder.Server,
			WasConnected: true,
		})
	}
	s.servers[i].connectionEnds = nil
}

func (s *fleetModel) startFault(i int, k Kind, f func(h *modelServer)) {
	s.visibleAt[fmt.Sprint(s.servers[i].name, " ", k)] = s.now
	f(s.servers[i])
}

// beganAt returns when each event began, by server and kind.
func (s *fleetModel) beganAt() map[string]float64 {
	all := map[string]float64{}
	for _, c := range s.changes {
		if c.To == 0 {
			all[c.Server+" "+c.Kind.String()] = c.From
		}
	}
	return all
}
