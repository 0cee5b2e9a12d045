package plugin

import (
	"errors"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// The errors of a Config that New does not take.
var (
	ErrNoServers   = errors.New("plugin: ZooKeeper and Path must be set")
	ErrInvalidTime = errors.New("plugin: times must be positive")
)

// Config says where the servers are found and how long things may take, in milliseconds. Only ZooKeeper and
// Path are needed.
type Config struct {
	ZooKeeper []string // addresses of the service of ephemeral nodes
	Path      string   // whose children are the servers
	SessionMs float64  // 6000 if 0
	Zone      string   // this client's zone, one of Zones
	Zones     []string
	ConnectMs float64 // for one attempt, 1000 if 0
	DialMs    float64 // for a dial with its retry, 5000 if 0
	DrainMs   float64 // how long calls in flight may keep a connection to a draining server, 10000 if 0
	Clients   int     // how many clients place connections as this one does, 1 if 0
}

// timeouts are a Config's times.
type timeouts struct {
	session, connect, dial, drain time.Duration
}

// The times of a Config that does not name them.
const (
	defaultSessionTimeout = 6 * time.Second
	defaultConnectTimeout = time.Second
	defaultDialTimeout    = 5 * time.Second
	defaultDrainTimeout   = 10 * time.Second
)

// timeouts checks the Config and returns its times. Its errors are ErrNoServers and ErrInvalidTime.
func (c *Config) timeouts() (timeouts, error) {
	if len(c.ZooKeeper) == 0 || len(c.Path) == 0 || c.Path[0] != '/' {
		return timeouts{}, ErrNoServers
	}
	var t timeouts
	for _, field := range []struct {
		to           *time.Duration
		millis       float64
		defaultValue time.Duration
	}{
		{&t.session, c.SessionMs, defaultSessionTimeout},
		{&t.connect, c.ConnectMs, defaultConnectTimeout},
		{&t.dial, c.DialMs, defaultDialTimeout},
		{&t.drain, c.DrainMs, defaultDrainTimeout},
	} {
		switch {
		case field.millis == 0:
			*field.to = field.defaultValue
		case field.millis > 0:
			*field.to = relay.DurationFromMillis(field.millis)
		default:
			return timeouts{}, ErrInvalidTime
		}
	}
	return t, nil
}

const (
	maxAttempts = 2 // of one dial
	tick        = time.Millisecond
)

// deployment is that of one client: a single class, without tenants.
func (c *Config) deployment(t timeouts) *relay.Deployment {
	zones := map[string]decide.Zone{}
	for i, zone := range c.Zones {
		zones[zone] = decide.Zone(i)
	}
	return &relay.Deployment{
		Zones: zones,
		Settings: decide.Settings{
			Relays:         max(c.Clients, 1),
			Zone:           zones[c.Zone],
			Zones:          len(c.Zones),
			MaxAttempts:    maxAttempts,
			Probes:         true,
			RetryAfter:     true,
			MaxRetryAfter:  t.dial,
			ConnectTimeout: t.connect,
			Tick:           tick,
			MustSubscribe:  true,
			Rules:          decide.Rules{PollDeadline: t.session},
			Classes: []decide.ClassInfo{{
				LatencyObjective: t.connect,
				Deadline:         t.dial,
				PriorityWeight:   1,
			}},
		},
	}
}
