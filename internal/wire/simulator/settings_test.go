package simulator

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// wires are three servers: one takes what comes, one loses it, one says nothing. Probes are answered with no
// report.
type wires struct {
	clock *relay.Clock
	out   map[*relay.Request]relay.Attempt
}

type deaf struct{}

func (deaf) Forward([]byte) error  { return nil }
func (deaf) Close(relay.CloseKind) {}
func (deaf) Wake()                 {}
func (deaf) HasUnread() bool       { return false }

func (w *wires) StartAttempt(c *relay.Request, a relay.Attempt) { w.out[c] = a }
func (w *wires) Probe(s relay.Server, done func(decide.Status, decide.LoadReport)) {
	if s.ID != "c" {
		go done(decide.OK, decide.NoLoadReport)
	} else {
		go done(decide.TimedOut, decide.NoLoadReport)
	}
}
func (w *wires) Watch() {}
func (w *wires) Fetch() {}

// turn lets each attempt that is out come to its end, if it has one.
func (w *wires) turn() {
	for c, a := range w.out {
		switch {
		case a.Server.ID == "c" && w.clock.Now() < a.Deadline:
		case !c.Attach(a.Number, deaf{}) || !c.BeginWrite(a.Number):
			delete(w.out, c)
			c.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		case a.Server.ID == "a":
			delete(w.out, c)
			c.Establish(a.Number)
		default:
			delete(w.out, c)
			c.EndAttempt(
				a.Number, map[string]decide.Status{"b": decide.Reset, "c": decide.TimedOut}[a.Server.ID],
				decide.NoLoadReport,
			)
		}
	}
}

// spoil returns settings in which one thing is not as any site has it: each key in turn left out, nought,
// negative, enormous, of another type, an empty list, an empty text.
func spoil(v any, path string, each func(path string)) {
	swap := func(key string, old any, set func(any), drop func()) {
		for name, x := range map[string]any{
			"0":          0,
			"-1":         -1,
			"1e18":       1e18,
			"text":       "x",
			"empty text": "",
			"empty list": []any{},
			"true":       true,
			"null":       nil,
		} {
			set(x)
			each(path + key + " is " + name)
		}
		if drop != nil {
			drop()
			each(path + key + " is left out")
		}
		set(old)
		spoil(old, path+key+".", each)
	}
	switch v := v.(type) {
	case map[string]any:
		for key, old := range v {
			swap(key, old, func(x any) { v[key] = x }, func() { delete(v, key) })
		}
	case []any:
		for i, old := range v {
			swap(fmt.Sprint(i), old, func(x any) { v[i] = x }, nil)
		}
	}
}

// Whatever a customer's settings lack or say, each request gets its one answer in time, the module does not
// panic, and the loop comes to rest between its timers.
func TestAnySettingsAnswerInTime(t *testing.T) {
	text, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	settings := config["settings"].(map[string]any)
	settings["realms"] = []any{
		map[string]any{"name": "acme", "portion": 0.6},
		map[string]any{"name": "tiny", "portion": 0.01},
	}
	settings["specifics"] = map[string]any{
		"groups":                 true,
		"tenantQuotaConnections": []any{9.0, 0.0},
		"messageAimMs":           []any{50.0},
		"reportX0":               "load",
	}
	settings["classes"] = append(settings["classes"].([]any),
		map[string]any{"name": "once", "aimMs": 40.0, "deadlineMs": 90.0, "semantics": "single_shot"},
		map[string]any{
			"name": "guarded", "aimMs": 40.0, "deadlineMs": 90.0,
			"semantics": "guarded", "group": "cell", "windowMs": 30.0,
		})
	n := 0
	play := func(what string) {
		n++
		now, _ := json.Marshal(settings)
		v, err := fastjson.ParseBytes(now)
		if err != nil {
			t.Fatal(err)
		}
		site := DecodeSettings(v)
		clock := relay.NewManualClock()
		w := &wires{clock, map[*relay.Request]relay.Attempt{}}
		x := relay.NewRequestTable(site, clock, w)
		var log strings.Builder
		core := relay.NewEventLoop(x, 3, w, zerolog.New(&log))
		var list []relay.Endpoint
		for _, id := range []string{"a", "b", "c"} {
			list = append(
				list,
				relay.Endpoint{
					ID:        id,
					Address:   "127.0.0.1:1",
					Zone:      "hall-a",
					State:     decide.Ready,
					StartedAt: clock.Wall(clock.Now() - 500*time.Millisecond),
				},
			)
		}
		x.UpdateEndpoints(decide.CachedSnapshot, list)
		calls := map[*relay.Request]time.Duration{}
		for i := range 24 {
			if len(site.Settings.Classes) == 0 {
				return // refused at start (TestBadConfigurationNamesTheKey)
			}
			left := relay.DurationFromMillis([]float64{0.5, 20, 90, 500}[i%4])
			ask := relay.RequestParams{
				Class:     decide.Class(i % len(site.Settings.Classes)),
				Tenant:    decide.Tenant(i%3 - 1),
				Group:     uint64(i % 3),
				Timeout:   left,
				Returning: i%5 == 0,
			}
			calls[x.Open(ask, deaf{})] = clock.Now() + left
		}
		for steps := 0; len(calls) > 0; steps++ {
			next := core.Step()
			w.turn()
			for c, deadline := range calls {
				if state, _ := c.State(); state == relay.Established || state == relay.Ended {
					delete(calls, c)
				} else if clock.Now() > deadline+50*time.Millisecond {
					t.Errorf("%s: no answer %v after the deadline", what, clock.Now()-deadline)
					return
				}
			}
			if steps > 20_000 || next < 0 {
				t.Errorf("%s: the loop does not come to rest: next in %v", what, next)
				return
			}
			clock.Set(clock.Now() + max(min(next, 5*time.Millisecond), 50*time.Microsecond))
		}
		if text := log.String(); strings.Contains(text, "panic") {
			t.Errorf("%s: %.300s", what, text)
		}
	}
	play("as they are")
	spoil(settings, "", play)
	t.Logf("%d settings", n)
}
