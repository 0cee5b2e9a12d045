package plugin

import (
	"errors"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// The errors of New for an invalid Config.
var (
	ErrNoServers   = errors.New("plugin: Config.ZooKeeper is empty or Config.Path has no leading slash")
	ErrInvalidTime = errors.New("plugin: times in Config must be positive, or 0 for the default")
)

// Config is the configuration of a Dialer. Only ZooKeeper and Path are required. Fields that end in Ms are
// time-outs in milliseconds.
type Config struct {
	ZooKeeper []string // addresses of the ZooKeeper servers
	Path      string   // ZooKeeper node whose children are the servers
	SessionMs float64  // of the ZooKeeper session, 6000 if 0
	Zone      string   // this client's zone, one of Zones
	Zones     []string // names of all zones
	ConnectMs float64  // for one attempt, 1000 if 0
	DialMs    float64  // for a dial including its retry, 5000 if 0
	DrainMs   float64  // for calls in flight on a connection to a draining server, 10000 if 0
	Clients   int      // number of clients with the same servers, including this one, 1 if 0
}

// timeouts are the times of a Config, with defaults filled in.
type timeouts struct {
	session, connect, dial, drain time.Duration
}

// The defaults of the times of a Config.
const (
	defaultSessionTimeout = 6 * time.Second
	defaultConnectTimeout = time.Second
	defaultDialTimeout    = 5 * time.Second
	defaultDrainTimeout   = 10 * time.Second
)

// timeouts checks the Config and returns its times. The error is ErrNoServers or ErrInvalidTime.
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

// deployment returns the deployment of one client. It has a single class and no tenants.
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
