package simulator

import (
	"reflect"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// Every key of the settings must be decoded into the field named in the table of DecodeSettings. A key that
// is mapped to a wrong field, or to none, would change decisions without an error.
func TestEachSettingsKeyBecomesItsField(t *testing.T) {
	const text = `{"me":2,"balancers":7,"zone":"south","areas":["north","south"],"discovery":"ask",
		"quantumMs":4,"overShareWorth":0.25,
		"limits":{"mostTries":3,"probes":true,"retryAfter":true,"maxRetryAfterMs":1500,
			"connectTimeoutMs":250},
		"rules":{"askWithinMs":10000,"startCapacity":0.31,"coldMs":6600,"fallMultiple":3,
			"overloadForMs":3000},
		"prices":{"crossZone":1.5,"probe":0.5,"moves":2.5},
		"specifics":{"groups":true,"tellsDelay":true,"messageAimMs":[50],"tenantQuotaConnections":[9],
			"reportX0":"seconds of work","reportX1":"load over capacity"},
		"classes":[
			{"name":"view","aimMs":300,"deadlineMs":1800,"worth":5,"semantics":"free"},
			{"name":"save","aimMs":200,"deadlineMs":900,"worth":1,"semantics":"guarded",
				"windowMs":500,"group":"cell"},
			{"name":"once","aimMs":100,"deadlineMs":400,"worth":2,"semantics":"single_shot","group":"zone"}],
		"realms":[{"name":"uni","portion":0.6},{"name":"lab","portion":0.4}]}`
	want := &relay.Deployment{
		LoadField: "x1",
		Zones:     map[string]decide.Zone{"north": 0, "south": 1},
		Classes:   map[string]decide.Class{"view": 0, "save": 1, "once": 2},
		Tenants:   map[string]decide.Tenant{"uni": 0, "lab": 1},
		Settings: decide.Settings{
			RelayIndex:              2,
			Relays:                  7,
			Zone:                    1,
			Zones:                   2,
			MustSubscribe:           true,
			Tick:                    4 * time.Millisecond,
			OverQuotaPriorityWeight: 0.25,
			MaxAttempts:             3,
			Probes:                  true,
			RetryAfter:              true,
			MaxRetryAfter:           1500 * time.Millisecond,
			ConnectTimeout:          250 * time.Millisecond,
			GroupAffinity:           true,
			ReportsMessageDelay:     true,
			Rules: decide.Rules{
				PollDeadline:      10 * time.Second,
				SlowStartCapacity: 0.31,
				SlowStartWindow:   6600 * time.Millisecond,
				OverloadFactor:    3,
				OverloadWindow:    3 * time.Second,
			},
			Prices: decide.Prices{CrossZone: 1.5, Probe: 0.5, Migration: 2.5},
			Classes: []decide.ClassInfo{
				{
					LatencyObjective:        300 * time.Millisecond,
					Deadline:                1800 * time.Millisecond,
					PriorityWeight:          5,
					Idempotency:             decide.Idempotent,
					MessageLatencyObjective: 50 * time.Millisecond,
				},
				{
					LatencyObjective: 200 * time.Millisecond,
					Deadline:         900 * time.Millisecond,
					PriorityWeight:   1,
					Idempotency:      decide.IdempotentWithKey,
					DedupWindow:      500 * time.Millisecond,
					DedupScope:       decide.ScopeCell,
				},
				{
					LatencyObjective: 100 * time.Millisecond,
					Deadline:         400 * time.Millisecond,
					PriorityWeight:   2,
					Idempotency:      decide.NonIdempotent,
					DedupScope:       decide.ScopeZone,
				},
			},
			Tenants: []decide.TenantInfo{
				{ServiceShare: 0.6, ConnectionQuota: 9},
				{ServiceShare: 0.4},
			},
		},
	}
	got := DecodeSettings(fastjson.MustParse(text))
	if !reflect.DeepEqual(got, want) {
		t.Errorf("DecodeSettings:\ngot  %+v\nwant %+v", got, want)
	}
}
