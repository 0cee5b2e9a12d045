package decide

import "testing"

// Nobody is admitted to a full fleet, and where there is a little room relays take only their part of it.
func TestAdmissionLeavesRoomForOtherRelays(t *testing.T) {
	placed := func(load float64, relays int) (n int) {
		for seed := range uint64(50) {
			set := settings()
			set.Relays = relays
			r := newRelay(t, set, seed, 4)
			n += len(actionsOf[Forward](r.answer(r.do(newRequest(1)), map[ServerID]float64{
				0: load,
				1: load,
				2: load,
				3: load,
			})))
		}
		return n
	}
	if n := placed(0.9, 10); n != 0 {
		t.Errorf("%d of 50 admitted to a full fleet", n)
	}
	if n := placed(0.3, 10); n != 50 {
		t.Errorf("%d of 50 admitted to a fleet with room", n)
	}
	if n := placed(0.6, 100); n == 0 || n > 20 {
		t.Errorf("%d of 50 admitted to room for one in ten", n)
	}
}

// Relays that have just started and hold nothing have never seen what a connection adds, and took it for
// nothing: where there was room for 19 more, each of 80 sent its first. What each takes the others to send
// in the time of a report, 37, leaves it a chance of one half.
func TestLargeFleetsThatHoldNothingLeaveRoom(t *testing.T) {
	sent := 0
	for relay := range 80 {
		set := settings()
		set.Relays, set.RelayIndex = 80, relay
		set.Tenants[0].ConnectionQuota = 100 // that is 0.032 of a server for each
		r := newRelay(t, set, uint64(relay), 4)
		for gone := range ServerID(20) { // what was listed once has no room either
			r.do(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 4 + gone, State: Removed}}})
		}
		acts := r.do(newRequest(1))
		for _, p := range actionsOf[Probe](acts) {
			acts = append(acts, r.do(ProbeResult{
				Server: p.Server, Latency: 2 * ms, Report: loadReport(0.6, -1),
			})...)
		}
		sent += len(actionsOf[Forward](acts))
	}
	if sent < 20 || sent > 55 {
		t.Errorf("80 relays sent %d of their first 80 requests on, to room for 19", sent)
	}
}
