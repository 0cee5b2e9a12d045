package decide

import "time"

// Servers, zones, classes and tenants are small integers, assigned by the caller. Decisions never depend on
// a name.
type (
	// ServerID is a server's number at this relay, assigned from 0 without gaps in the order in which servers
	// are first mentioned.
	ServerID int32
	// Zone is the number, from 0, of a failure domain that relays and servers belong to.
	Zone int32
	// Class is an index into Settings.Classes.
	Class int32
	// Tenant is an index into Settings.Tenants, or NoTenant.
	Tenant int32
	// RequestID identifies a request; the caller never reuses one during a Balancer's life.
	RequestID uint64
)

// NoTenant marks a request of a deployment without tenants.
const NoTenant Tenant = -1

// ClassInfo describes a class of requests.
type ClassInfo struct {
	LatencyObjective        time.Duration // a connection set up within this time is on time
	Deadline                time.Duration // how long the client waits, over all attempts
	Idempotency             Idempotency
	DedupScope              DedupScope    // for IdempotentWithKey
	DedupWindow             time.Duration // for IdempotentWithKey: how long servers remember a key
	PriorityWeight          float64       // weight of one request in the simulator's score
	MessageLatencyObjective time.Duration // for one message on an open connection, 0 if there is none
}

// TenantInfo describes a tenant.
type TenantInfo struct {
	ServiceShare    float64 // its fraction of the service, 0 to 1
	ConnectionQuota float64 // open connections over all relays that its share covers, 0 if there is no quota
}

// Prices are the points that the simulator's score loses for each unit.
type Prices struct {
	CrossZone float64 // an attempt that crosses zones
	Probe     float64 // a probe, relative to the number of first attempts
	Migration float64 // a migration, relative to the number of first attempts
}

// Rules are the parameters of the protocol's four rules.
type Rules struct {
	PollDeadline      time.Duration // an unsubscribed relay counts as notified of a change after this time
	SlowStartCapacity float64       // least fraction of its capacity, 0 to 1, that a server has at its start
	SlowStartWindow   time.Duration // time from a server's start within which it reaches its full capacity
	OverloadFactor    float64       // a server fails if sent more than this multiple of its present capacity
	OverloadWindow    time.Duration // time over which OverloadFactor applies
}

// Settings are the parameters that a Balancer is started with.
type Settings struct {
	RelayIndex int  // this relay's number, from 0
	Relays     int  // number of relays in the fleet
	Zone       Zone // zone of this relay
	Zones      int  // number of zones

	Classes                 []ClassInfo
	Tenants                 []TenantInfo
	OverQuotaPriorityWeight float64 // of a request beyond its tenant's share, as a fraction of its class's

	MaxAttempts         int  // upper bound; retry.go plans at most the first attempt and one retry
	Probes              bool // servers answer probes
	RetryAfter          bool // rejections carry a Retry-After
	MaxRetryAfter       time.Duration
	ConnectTimeout      time.Duration // lower bound of set-up time-outs that come from measured latencies
	Tick                time.Duration // least time between two batches of events
	GroupAffinity       bool          // connections of a group share work at a server and are placed together
	ReportsMessageDelay bool          // the caller sends MessageDelay events
	MustSubscribe       bool          // discovery notifies only relays that subscribe

	Rules  Rules
	Prices Prices
}

// validSettings replaces invalid settings by the nearest valid ones.
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
