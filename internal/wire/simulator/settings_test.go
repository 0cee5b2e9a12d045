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

// fakeServers simulates discovery and three servers: "a" establishes each request, "b" resets it and "c" does
// not answer. Probes of "a" and "b" succeed without a load report; probes of "c" time out.
type fakeServers struct {
	clock    *relay.Clock
	attempts map[*relay.Request]relay.Attempt
}

type silentConn struct{}

func (silentConn) Forward([]byte) error  { return nil }
func (silentConn) Close(relay.CloseKind) {}
func (silentConn) Wake()                 {}
func (silentConn) HasUnread() bool       { return false }

func (f *fakeServers) StartAttempt(request *relay.Request, a relay.Attempt) { f.attempts[request] = a }
func (f *fakeServers) Probe(s relay.Server, done func(decide.Status, decide.LoadReport)) {
	if s.ID != "c" {
		go done(decide.OK, decide.NoLoadReport)
	} else {
		go done(decide.TimedOut, decide.NoLoadReport)
	}
}
func (f *fakeServers) Watch() {}
func (f *fakeServers) Fetch() {}

// step ends or establishes each open attempt, except attempts at "c" before their deadline.
func (f *fakeServers) step() {
	for request, a := range f.attempts {
		switch {
		case a.Server.ID == "c" && f.clock.Now() < a.Deadline:
		case !request.Attach(a.Number, silentConn{}) || !request.BeginWrite(a.Number):
			delete(f.attempts, request)
			request.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		case a.Server.ID == "a":
			delete(f.attempts, request)
			request.Establish(a.Number)
		default:
			delete(f.attempts, request)
			request.EndAttempt(
				a.Number, map[string]decide.Status{"b": decide.Reset, "c": decide.TimedOut}[a.Server.ID],
				decide.NoLoadReport,
			)
		}
	}
}

// forEachInvalidSetting calls each for every variant of the settings v in which one value is unusual: absent,
// 0, negative, very large, of another type, or empty. It passes a description of the variant, and restores
// the value afterwards.
func forEachInvalidSetting(v any, path string, each func(path string)) {
	substitute := func(key string, old any, set func(any), drop func()) {
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
			each(path + key + " is absent")
		}
		set(old)
		forEachInvalidSetting(old, path+key+".", each)
	}
	switch v := v.(type) {
	case map[string]any:
		for key, old := range v {
			substitute(key, old, func(x any) { v[key] = x }, func() { delete(v, key) })
		}
	case []any:
		for i, old := range v {
			substitute(fmt.Sprint(i), old, func(x any) { v[i] = x }, nil)
		}
	}
}

// With any settings, however wrong, each request must get one answer in time, the decision module must not
// panic, and the event loop must sleep between its timers.
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
	count := 0
	testSettings := func(variant string) {
		count++
		variantJSON, _ := json.Marshal(settings)
		v, err := fastjson.ParseBytes(variantJSON)
		if err != nil {
			t.Fatal(err)
		}
		deployment := DecodeSettings(v)
		clock := relay.NewManualClock()
		servers := &fakeServers{clock, map[*relay.Request]relay.Attempt{}}
		requests := relay.NewRequestTable(deployment, clock, servers)
		var log strings.Builder
		loop := relay.NewEventLoop(requests, 3, servers, zerolog.New(&log))
		var endpoints []relay.Endpoint
		for _, id := range []string{"a", "b", "c"} {
			endpoints = append(
				endpoints,
				relay.Endpoint{
					ID:        id,
					Address:   "127.0.0.1:1",
					Zone:      "hall-a",
					State:     decide.Ready,
					StartedAt: clock.Wall(clock.Now() - 500*time.Millisecond),
				},
			)
		}
		requests.UpdateEndpoints(decide.CachedSnapshot, endpoints)
		pending := map[*relay.Request]time.Duration{}
		for i := range 24 {
			if len(deployment.Settings.Classes) == 0 {
				return // a relay does not start with these settings (TestBadConfigurationNamesTheKey)
			}
			timeout := relay.DurationFromMillis([]float64{0.5, 20, 90, 500}[i%4])
			params := relay.RequestParams{
				Class:     decide.Class(i % len(deployment.Settings.Classes)),
				Tenant:    decide.Tenant(i%3 - 1),
				Group:     uint64(i % 3),
				Timeout:   timeout,
				Returning: i%5 == 0,
			}
			pending[requests.Open(params, silentConn{})] = clock.Now() + timeout
		}
		for steps := 0; len(pending) > 0; steps++ {
			next := loop.Step()
			servers.step()
			for request, deadline := range pending {
				if state, _ := request.State(); state == relay.Established || state == relay.Ended {
					delete(pending, request)
				} else if clock.Now() > deadline+50*time.Millisecond {
					t.Errorf("settings where %s: got no answer %v after the deadline of a request",
						variant, clock.Now()-deadline)
					return
				}
			}
			if steps > 20_000 || next < 0 {
				t.Errorf("settings where %s: event loop does not come to rest: got next step in %v",
					variant, next)
				return
			}
			clock.Set(clock.Now() + max(min(next, 5*time.Millisecond), 50*time.Microsecond))
		}
		if text := log.String(); strings.Contains(text, "panic") {
			t.Errorf("settings where %s: got a panic in the log: %.300s", variant, text)
		}
	}
	testSettings("all are valid")
	forEachInvalidSetting(settings, "", testSettings)
	t.Logf("%d variants of the settings tested", count)
}
