package decide

import "time"

// Servers, zones, classes and tenants are small integers, given out by whoever feeds the module. No name ever
// reaches a decision.
type (
	// ServerID is a server's number at this relay, dense from 0 in the order of first mention.
	ServerID int32
	// Zone is a failure domain in which relays and servers stand, numbered from 0.
	Zone int32
	// Class is an index into Settings.Classes.
	Class int32
	// Tenant is an index into Settings.Tenants, or NoTenant.
	Tenant int32
	// RequestID names a request; the caller never uses one twice in a Balancer's life.
	RequestID uint64
)

// NoTenant marks a request of a deployment without tenants.
const NoTenant Tenant = -1

// ClassInfo describes a class of requests.
type ClassInfo struct {
	LatencyObjective        time.Duration // a connection set up within this is on time
	Deadline                time.Duration // how long the client waits, over all attempts
	Idempotency             Idempotency
	DedupScope              DedupScope    // for IdempotentWithKey
	DedupWindow             time.Duration // for IdempotentWithKey: how long a key is remembered
	PriorityWeight          float64       // what one request counts in the result
	MessageLatencyObjective time.Duration // for one message on an open connection, 0 for none
}

// TenantInfo describes a tenant.
type TenantInfo struct {
	ServiceShare    float64 // its part of the service, 0 to 1
	ConnectionQuota float64 // open connections over all relays that are within its share, 0 for none
}

// Prices are points taken off the result for each unit.
type Prices struct {
	CrossZone float64 // an attempt that crosses zones
	Probe     float64 // a probe for each first attempt
	Migration float64 // a migration for each first attempt
}

// Rules are the figures of the protocol's four rules.
type Rules struct {
	PollDeadline      time.Duration // a relay without a subscription for this long counts as notified
	SlowStartCapacity float64       // least part of its capacity, 0 to 1, that a server has at its start
	SlowStartWindow   time.Duration // from its start on; it is warm no later than this
	OverloadFactor    float64       // sent more than this multiple of its present capacity
	OverloadWindow    time.Duration // over so long a time, a server falls over
}

// Settings are all that a Balancer knows at its start.
type Settings struct {
	RelayIndex int  // this relay's number, from 0
	Relays     int  // how many relays there are
	Zone       Zone // this relay's
	Zones      int  // how many zones there are

	Classes                 []ClassInfo
	Tenants                 []TenantInfo
	OverQuotaPriorityWeight float64 // of a request beyond its tenant's share, as a part of its class's

	MaxAttempts         int  // a bound: retry.go plans no more than the first and one retry
	Probes              bool // servers answer probes
	RetryAfter          bool // rejections tell the client when to retry
	MaxRetryAfter       time.Duration
	ConnectTimeout      time.Duration // least time for a set-up
	Tick                time.Duration // least time between two batches of events
	GroupAffinity       bool          // a server pays once for all connections of a group
	ReportsMessageDelay bool          // MessageDelay events come
	MustSubscribe       bool          // discovery notifies only relays that subscribe

	Rules  Rules
	Prices Prices
}

// validSettings replaces what makes no sense by the nearest that does.
func validSettings(set Settings) Settings {
	set.Relays = max(set.Relays, 1)
	set.Zones = max(set.Zones, int(set.Zone)+1, 1)
	set.Zone = max(set.Zone, 0)
	set.MaxAttempts = max(set.MaxAttempts, 1)
	if set.Rules.SlowStartCapacity <= 0 || set.Rules.SlowStartCapacity > 1 {
		set.Rules.SlowStartCapacity = 1
	}
	if set.Rules.PollDeadline <= 0 {
		set.Rules.PollDeadline = 10 * time.Second
	}
	if set.Rules.OverloadWindow <= 0 {
		set.Rules.OverloadWindow = time.Second
	}
	if len(set.Classes) == 0 {
		set.Classes = []ClassInfo{{LatencyObjective: time.Second, Deadline: time.Second}}
	}
	return set
}
