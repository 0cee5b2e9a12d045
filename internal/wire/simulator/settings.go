package simulator

import (
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// DecodeSettings decodes the settings object, which is part of the simulator's first message and of a relay's
// configuration. Absent keys count as 0; unknown keys are ignored. The keys are mapped as follows:
//
//	me                                   Settings.RelayIndex
//	balancers                            Settings.Relays
//	zone, areas                          Settings.Zone, Zones; Deployment.Zones by name
//	discovery                            Settings.MustSubscribe if "ask"; otherwise lists are pushed
//	quantumMs                            Settings.Tick
//	overShareWorth                       Settings.OverQuotaPriorityWeight
//	limits.mostTries                     Settings.MaxAttempts
//	limits.probes, retryAfter            Settings.Probes, RetryAfter
//	limits.maxRetryAfterMs               Settings.MaxRetryAfter
//	limits.connectTimeoutMs              Settings.ConnectTimeout
//	rules.askWithinMs                    Rules.PollDeadline
//	rules.startCapacity                  Rules.SlowStartCapacity
//	rules.coldMs                         Rules.SlowStartWindow
//	rules.fallMultiple, overloadForMs    Rules.OverloadFactor, OverloadWindow
//	prices.crossZone, probe, moves       Prices.CrossZone, Probe, Migration
//	specifics.groups                     Settings.GroupAffinity
//	specifics.tellsDelay                 Settings.ReportsMessageDelay
//	specifics.messageAimMs               ClassInfo.MessageLatencyObjective, by class
//	specifics.tenantQuotaConnections     TenantInfo.ConnectionQuota, by tenant
//	specifics.reportX0, reportX1         Deployment.LoadField: x0 or x1, whose text begins with "load"
//	classes: name                        Deployment.Classes
//	classes: aimMs, deadlineMs           ClassInfo.LatencyObjective, Deadline
//	classes: worth                       ClassInfo.PriorityWeight
//	classes: semantics, windowMs, group  ClassInfo.Idempotency, DedupWindow, DedupScope
//	realms: name, portion                Deployment.Tenants; TenantInfo.ServiceShare
func DecodeSettings(object *fastjson.Value) *relay.Deployment {
	deployment := &relay.Deployment{
		Settings:  decodeScalars(object),
		LoadField: decodeLoadKey(object),
	}
	decodeZones(object, deployment)
	decodeClasses(object, deployment)
	decodeTenants(object, deployment)
	return deployment
}

// decodeScalars decodes the settings that do not belong to a zone, class or tenant.
func decodeScalars(object *fastjson.Value) decide.Settings {
	return decide.Settings{
		RelayIndex:              object.GetInt("me"),
		Relays:                  object.GetInt("balancers"),
		OverQuotaPriorityWeight: object.GetFloat64("overShareWorth"),
		MaxAttempts:             object.GetInt("limits", "mostTries"),
		Probes:                  object.GetBool("limits", "probes"),
		RetryAfter:              object.GetBool("limits", "retryAfter"),
		MaxRetryAfter:           durationAt(object, "limits", "maxRetryAfterMs"),
		ConnectTimeout:          durationAt(object, "limits", "connectTimeoutMs"),
		Tick:                    durationAt(object, "quantumMs"),
		GroupAffinity:           object.GetBool("specifics", "groups"),
		ReportsMessageDelay:     object.GetBool("specifics", "tellsDelay"),
		MustSubscribe:           string(object.GetStringBytes("discovery")) == "ask",
		Rules: decide.Rules{
			PollDeadline:      durationAt(object, "rules", "askWithinMs"),
			SlowStartCapacity: object.GetFloat64("rules", "startCapacity"),
			SlowStartWindow:   durationAt(object, "rules", "coldMs"),
			OverloadFactor:    object.GetFloat64("rules", "fallMultiple"),
			OverloadWindow:    durationAt(object, "rules", "overloadForMs"),
		},
		Prices: decide.Prices{
			CrossZone: object.GetFloat64("prices", "crossZone"),
			Probe:     object.GetFloat64("prices", "probe"),
			Migration: object.GetFloat64("prices", "moves"),
		},
	}
}

// decodeZones numbers the zones in their order and finds the relay's own zone.
func decodeZones(object *fastjson.Value, deployment *relay.Deployment) {
	deployment.Zones = map[string]decide.Zone{}
	for i, zone := range object.GetArray("areas") {
		deployment.Zones[string(zone.GetStringBytes())] = decide.Zone(i)
		deployment.Settings.Zones++
	}
	deployment.Settings.Zone = deployment.Zones[string(object.GetStringBytes("zone"))]
}

// The words in the settings of classes. A class with other semantics is decide.NonIdempotent, so that its
// requests are not retried when they may have run.
var (
	idempotencies = map[string]decide.Idempotency{
		"free":    decide.Idempotent,
		"guarded": decide.IdempotentWithKey,
	}
	dedupScopes = map[string]decide.DedupScope{
		"zone": decide.ScopeZone,
		"cell": decide.ScopeCell,
	}
)

// decodeClasses numbers the classes in their order.
func decodeClasses(object *fastjson.Value, deployment *relay.Deployment) {
	deployment.Classes = map[string]decide.Class{}
	messageObjectives := object.GetArray("specifics", "messageAimMs")
	for i, class := range object.GetArray("classes") {
		info := decide.ClassInfo{
			LatencyObjective: durationAt(class, "aimMs"),
			Deadline:         durationAt(class, "deadlineMs"),
			DedupWindow:      durationAt(class, "windowMs"),
			DedupScope:       dedupScopes[string(class.GetStringBytes("group"))],
			PriorityWeight:   class.GetFloat64("worth"),
		}
		idempotency, known := idempotencies[string(class.GetStringBytes("semantics"))]
		if !known {
			idempotency = decide.NonIdempotent
		}
		info.Idempotency = idempotency
		if i < len(messageObjectives) {
			info.MessageLatencyObjective = relay.DurationFromMillis(messageObjectives[i].GetFloat64())
		}
		deployment.Classes[string(class.GetStringBytes("name"))] = decide.Class(i)
		deployment.Settings.Classes = append(deployment.Settings.Classes, info)
	}
}

// decodeTenants numbers the tenants in their order.
func decodeTenants(object *fastjson.Value, deployment *relay.Deployment) {
	deployment.Tenants = map[string]decide.Tenant{}
	quotas := object.GetArray("specifics", "tenantQuotaConnections")
	for i, tenant := range object.GetArray("realms") {
		info := decide.TenantInfo{ServiceShare: tenant.GetFloat64("portion")}
		if i < len(quotas) {
			info.ConnectionQuota = quotas[i].GetFloat64()
		}
		deployment.Tenants[string(tenant.GetStringBytes("name"))] = decide.Tenant(i)
		deployment.Settings.Tenants = append(deployment.Settings.Tenants, info)
	}
}

// decodeLoadKey returns the key of the load report value that is load divided by capacity. The settings
// describe it only by a text that begins with "load"; if both keys have one, the later key is returned.
func decodeLoadKey(object *fastjson.Value) (key string) {
	for _, one := range []struct{ key, meaning string }{
		{"x0", string(object.GetStringBytes("specifics", "reportX0"))},
		{"x1", string(object.GetStringBytes("specifics", "reportX1"))},
	} {
		if strings.HasPrefix(one.meaning, "load") {
			key = one.key
		}
	}
	return key
}

// durationAt returns the value of a key in milliseconds as a duration.
func durationAt(object *fastjson.Value, keys ...string) time.Duration {
	return relay.DurationFromMillis(object.GetFloat64(keys...))
}
