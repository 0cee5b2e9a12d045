package decide

import "testing"

// Where a class's aim for messages is not told, none of its messages is late, and its backend has the room that it reports.
func TestNoMessageIsLateWithoutAnAim(t *testing.T) {
	set := settings()
	set.Relays, set.Classes[0].MessageLatencyObjective = 1, 0
	loads := map[ServerID]float64{0: 0.2, 1: 0.2}
	r := newRelay(t, set, 3, 2)
	for id := RequestID(1); id <= 6; id++ {
		on := r.place(ask(id), loads)
		if on < 0 {
			t.Fatalf("request %d is refused, at a load of 0.2", id)
		}
		r.open(id, on)
		r.answer(r.do(MessageDelay{ID: id, Server: on, Delay: 80 * ms}), loads)
	}
	for _, v := range r.b.ProbePool(make([]PooledServer, 0, 2)) {
		if v.EstimatedLoad >= 0.6 {
			t.Errorf("backend %d, which reports 0.2, is taken for %.2f", v.Server, v.EstimatedLoad)
		}
	}
}
