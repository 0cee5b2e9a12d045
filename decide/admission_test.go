package decide

import "testing"

// A fleet without capacity admits no request, and of a little capacity each relay takes only its share.
func TestAdmissionLeavesRoomForOtherRelays(t *testing.T) {
	forwarded := func(load float64, relays int) (n int) {
		for seed := range uint64(50) {
			set := settings()
			set.Relays = relays
			r := newRelay(t, set, seed, 4)
			n += len(actionsOf[Forward](r.answerProbes(r.handle(newRequest(1)), map[ServerID]float64{
				0: load,
				1: load,
				2: load,
				3: load,
			})))
		}
		return n
	}
	if n := forwarded(0.9, 10); n != 0 {
		t.Errorf("%d of 50 requests admitted to a fleet at load 0.9, want none", n)
	}
	if n := forwarded(0.3, 10); n != 50 {
		t.Errorf("%d of 50 requests admitted to a fleet at load 0.3, want all", n)
	}
	if n := forwarded(0.6, 100); n == 0 || n > 20 {
		t.Errorf("%d of 50 requests admitted to a fleet at load 0.6, with capacity for about 5; want 1 to 20",
			n)
	}
}

// Guards against relays that have just started and, without any connection to learn from, assume that a
// connection adds no load: each of 80 sent its first request to servers with capacity for 19. Each relay
// expects 37 requests to the fleet within the delay of a report, so it should admit its own with a
// probability of about one half.
func TestLargeFleetsThatHoldNothingLeaveRoom(t *testing.T) {
	sent := 0
	for relay := range 80 {
		set := settings()
		set.Relays, set.RelayIndex = 80, relay
		set.Tenants[0].ConnectionQuota = 100 // a connection adds 0.032 of a server's capacity
		r := newRelay(t, set, uint64(relay), 4)
		for removed := range ServerID(20) { // servers listed once count for nothing
			r.handle(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 4 + removed, State: Removed}}})
		}
		acts := r.handle(newRequest(1))
		for _, p := range actionsOf[Probe](acts) {
			acts = append(acts, r.handle(ProbeResult{
				Server: p.Server, Latency: 2 * ms, Report: loadReport(0.6, -1),
			})...)
		}
		sent += len(actionsOf[Forward](acts))
	}
	if sent < 20 || sent > 55 {
		t.Errorf("80 relays forwarded %d of their first 80 requests, to capacity for 19; want 20 to 55", sent)
	}
}
