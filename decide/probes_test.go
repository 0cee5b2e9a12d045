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
	if probes := actionsOf[Probe](r.handle(newRequest(2))); len(probes) != probesPerPlacement {
		t.Errorf("%d probes with a stale pool, want %d", len(probes), probesPerPlacement)
	}
}

// A late message means that the server has a backlog, whatever its present load is.
func TestServerWithLateMessagesCountsAsFull(t *testing.T) {
	set := settings()
	set.Relays = 1 // no other relay places connections, so the pick is the least loaded
	loads := map[ServerID]float64{0: 0.2, 1: 0.4}
	r := newRelay(t, set, 3, 2)
	on := r.place(newRequest(1), loads)
	r.openConnection(1, on)
	r.answerProbes(r.handle(MessageDelay{ID: 1, Server: on, Delay: 400 * ms}), loads)
	if got := r.place(newRequest(2), loads); got != 1 {
		t.Errorf("placed on server %d, want 1: messages of server 0 are late", got)
	}
	if got := r.advance(3*time.Second).place(newRequest(3), loads); got != 0 {
		t.Errorf("placed on server %d, want 0, whose messages have been on time for 3 s", got)
	}
}

// Without a latency objective for messages in a class, none of its messages is late, and its server keeps the
// capacity that it reports.
func TestNoMessageIsLateWithoutAnObjective(t *testing.T) {
	set := settings()
	set.Relays, set.Classes[0].MessageLatencyObjective = 1, 0
	loads := map[ServerID]float64{0: 0.2, 1: 0.2}
	r := newRelay(t, set, 3, 2)
	for id := RequestID(1); id <= 6; id++ {
		on := r.place(newRequest(id), loads)
		if on < 0 {
			t.Fatalf("request %d was rejected at a load of 0.2, want a placement", id)
		}
		r.openConnection(id, on)
		r.answerProbes(r.handle(MessageDelay{ID: id, Server: on, Delay: 80 * ms}), loads)
	}
	for _, v := range r.b.ProbePool(make([]PooledServer, 0, 2)) {
		if v.EstimatedLoad >= 0.6 {
			t.Errorf("server %d reports a load of 0.2 and is estimated at %.2f, want less than 0.6",
				v.Server, v.EstimatedLoad)
		}
	}
}

// A reading that another relay shares has an age: it is used while it is fresh, gives way to a newer one, and
// does not end the ejection of a server by this relay.
func TestGossipReadingsAgeAndGiveWay(t *testing.T) {
	r := newRelay(t, settings(), 1, 4)
	r.handle(FleetStatus{Relays: 9, BudgetShare: 1.0 / 9, SharesReadings: true})
	gossip := func(id ServerID, age time.Duration, load float64) {
		r.handle(GossipReading{Server: id, Age: age, Report: loadReport(load, -1)})
	}
	gossip(0, 300*ms, 0.4)
	gossip(0, 600*ms, 0.9) // older than the stored reading
	if s := r.b.endpoints.stateOf(0); s.reading.load != 0.4 || s.reading.at != r.now-300*ms {
		t.Errorf("reading with load %.1f and age %v, want 0.4 and 300 ms", s.reading.load, r.now-s.reading.at)
	}
	for i := range ServerID(3) {
		gossip(i+1, 200*ms, 0.4)
	}
	if acts := r.handle(newRequest(1)); len(actionsOf[Probe](acts)) != 0 ||
		len(actionsOf[Forward](acts)) != 1 {
		t.Errorf("actions with four fresh readings: %v, want one Forward and no Probe", acts)
	}
	r.handle(Outcome{
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
		t.Error("a shared reading ended the ejection of a server or made its reading usable")
	}
	r.advance(2 * readingTTL)
	if acts := r.handle(newRequest(2)); len(actionsOf[Probe](acts)) == 0 {
		t.Errorf("actions with readings older than 2 s: %v, want probes", acts)
	}
}
