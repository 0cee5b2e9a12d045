package decide

import (
	"slices"
	"testing"
	"time"
)

func TestReadingsExpire(t *testing.T) {
	r := newRelay(t, settings(), 1, 4)
	r.place(newRequest(1), map[ServerID]float64{0: 0.5, 1: 0.5, 2: 0.1, 3: 0.5})
	r.advance(readingTTL + ms)
	if probes := actionsOf[Probe](r.do(newRequest(2))); len(probes) != probesPerPlacement {
		t.Errorf("%d probes for a stale pool, want %d", len(probes), probesPerPlacement)
	}
}

// Where a message was late work is piled up, whatever load is asked of the server now.
func TestServerWithLateMessagesCountsAsFull(t *testing.T) {
	set := settings()
	set.Relays = 1 // nobody else places anything, so the pick is the least loaded
	loads := map[ServerID]float64{0: 0.2, 1: 0.4}
	r := newRelay(t, set, 3, 2)
	on := r.place(newRequest(1), loads)
	r.open(1, on)
	r.answer(r.do(MessageDelay{ID: 1, Server: on, Delay: 400 * ms}), loads)
	if got := r.place(newRequest(2), loads); got != 1 {
		t.Errorf("placed on %d while its messages are late", got)
	}
	if got := r.advance(3*time.Second).place(newRequest(3), loads); got != 0 {
		t.Errorf("placed on %d, though the other has been in time for 3 s", got)
	}
}

// Where a class has no latency objective for messages, none of its messages is late, and its server has the
// room that it reports.
func TestNoMessageIsLateWithoutAnObjective(t *testing.T) {
	set := settings()
	set.Relays, set.Classes[0].MessageLatencyObjective = 1, 0
	loads := map[ServerID]float64{0: 0.2, 1: 0.2}
	r := newRelay(t, set, 3, 2)
	for id := RequestID(1); id <= 6; id++ {
		on := r.place(newRequest(id), loads)
		if on < 0 {
			t.Fatalf("request %d is rejected, at a load of 0.2", id)
		}
		r.open(id, on)
		r.answer(r.do(MessageDelay{ID: id, Server: on, Delay: 80 * ms}), loads)
	}
	for _, v := range r.b.ProbePool(make([]PooledServer, 0, 2)) {
		if v.EstimatedLoad >= 0.6 {
			t.Errorf("server %d, which reports 0.2, is taken for %.2f", v.Server, v.EstimatedLoad)
		}
	}
}

// What other relays tell is evidence with an age: it counts while it is young, gives way to what is newer,
// and says nothing of a server that failed this relay.
func TestGossipReadingsAgeAndGiveWay(t *testing.T) {
	r := newRelay(t, settings(), 1, 4)
	r.do(FleetStatus{Relays: 9, BudgetShare: 1.0 / 9, SharesReadings: true})
	gossip := func(id ServerID, age time.Duration, load float64) {
		r.do(GossipReading{Server: id, Age: age, Report: loadReport(load, -1)})
	}
	gossip(0, 300*ms, 0.4)
	gossip(0, 600*ms, 0.9) // older than what is held
	if s := r.b.endpoints.stateOf(0); s.reading.load != 0.4 || s.reading.at != r.now-300*ms {
		t.Errorf("holds %.1f of %v", s.reading.load, r.now-s.reading.at)
	}
	for i := range ServerID(3) {
		gossip(i+1, 200*ms, 0.4)
	}
	if acts := r.do(newRequest(1)); len(actionsOf[Probe](acts)) != 0 || len(actionsOf[Forward](acts)) != 1 {
		t.Errorf("with all readings at hand: %v", acts)
	}
	r.do(Outcome{
		ID:      1,
		Attempt: 1,
		Server:  r.b.requests.requests[1].server,
		Status:  ConnectFailed,
		Report:  NoLoadReport,
	})
	failed := ServerID(slices.IndexFunc(r.b.endpoints.servers, func(s serverState) bool {
		return s.health.ejected
	}))
	gossip(failed, 0, 0.1)
	if s := r.b.endpoints.stateOf(failed); !s.health.ejected || s.reading.usable() {
		t.Error("gossip brought a failed server back")
	}
	r.advance(2 * readingTTL)
	if acts := r.do(newRequest(2)); len(actionsOf[Probe](acts)) == 0 {
		t.Errorf("readings of over 2 s ago still count: %v", acts)
	}
}
