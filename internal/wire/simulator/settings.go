package simulator

import (
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// DecodeSettings reads the settings object, which the simulator's first message and a real relay's
// configuration share. Keys that are absent count as 0, unknown ones are skipped.
func DecodeSettings(p *fastjson.Value) *relay.Deployment {
	n := &relay.Deployment{Classes: map[string]decide.Class{}, Tenants: map[string]decide.Tenant{},
		Zones: map[string]decide.Zone{}}
	set := decide.Settings{
		RelayIndex:              p.GetInt("me"),
		Relays:                  p.GetInt("balancers"),
		OverQuotaPriorityWeight: p.GetFloat64("overShareWorth"),
		MaxAttempts:             p.GetInt("limits", "mostTries"),
		Probes:                  p.GetBool("limits", "probes"),
		RetryAfter:              p.GetBool("limits", "retryAfter"),
		MaxRetryAfter:           durationAt(p, "limits", "maxRetryAfterMs"),
		ConnectTimeout:          durationAt(p, "limits", "connectTimeoutMs"),
		Tick:                    durationAt(p, "quantumMs"),
		GroupAffinity:           p.GetBool("specifics", "groups"),
		ReportsMessageDelay:     p.GetBool("specifics", "tellsDelay"),
		MustSubscribe:           string(p.GetStringBytes("discovery")) == "ask",
		Rules: decide.Rules{
			PollWithin:        durationAt(p, "rules", "askWithinMs"),
			SlowStartCapacity: p.GetFloat64("rules", "startCapacity"),
			SlowStartWindow:   durationAt(p, "rules", "coldMs"),
			OverloadFactor:    p.GetFloat64("rules", "fallMultiple"),
			OverloadWindow:    durationAt(p, "rules", "overloadForMs"),
		},
		Prices: decide.Prices{
			CrossZone: p.GetFloat64("prices", "crossZone"),
			Probe:     p.GetFloat64("prices", "probe"),
			Move:      p.GetFloat64("prices", "moves"),
		},
	}
	for i, z := range p.GetArray("areas") {
		n.Zones[string(z.GetStringBytes())] = decide.Zone(i)
		set.Zones++
	}
	set.Zone = n.Zones[string(p.GetStringBytes("zone"))]
	messages := p.GetArray("specifics", "messageAimMs")
	for i, c := range p.GetArray("classes") {
		info := decide.ClassInfo{
			LatencyObjective: durationAt(c, "aimMs"),
			Deadline:         durationAt(c, "deadlineMs"),
			DedupWindow:      durationAt(c, "windowMs"),
			PriorityWeight:   c.GetFloat64("worth"),
		}
		switch string(c.GetStringBytes("semantics")) {
		case "guarded":
			info.Idempotency = decide.IdempotentWithKey
		case "free":
		default: // what is not known to be harmless is not repeated
			info.Idempotency = decide.NonIdempotent
		}
		switch string(c.GetStringBytes("group")) {
		case "zone":
			info.DedupScope = decide.ScopeZone
		case "cell":
			info.DedupScope = decide.ScopeCell
		}
		if i < len(messages) {
			info.MessageLatencyObjective = relay.Duration(messages[i].GetFloat64())
		}
		n.Classes[string(c.GetStringBytes("name"))] = decide.Class(i)
		set.Classes = append(set.Classes, info)
	}
	quotas := p.GetArray("specifics", "tenantQuotaConnections")
	for i, t := range p.GetArray("realms") {
		info := decide.TenantInfo{ServiceShare: t.GetFloat64("portion")}
		if i < len(quotas) {
			info.ConnectionQuota = quotas[i].GetFloat64()
		}
		n.Tenants[string(t.GetStringBytes("name"))] = decide.Tenant(i)
		set.Tenants = append(set.Tenants, info)
	}
	// Which report value tells load over capacity is said in words only.
	for key, meaning := range map[string]string{
		"x0": string(p.GetStringBytes("specifics", "reportX0")),
		"x1": string(p.GetStringBytes("specifics", "reportX1")),
	} {
		if strings.HasPrefix(meaning, "load") {
			n.LoadField = key
		}
	}
	n.Settings = set
	return n
}

func durationAt(p *fastjson.Value, keys ...string) time.Duration {
	return relay.Duration(p.GetFloat64(keys...))
}
