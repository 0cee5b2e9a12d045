package lifecycle

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
	"capersail/internal/resume"
)

// ownershipCloseTimeout bounds the wait for the session with the ownership service to be closed. A session
// that is not closed in time expires later by itself.
const ownershipCloseTimeout = 150 * time.Millisecond

// resumePart lets clients resume their streams with a token. It joins only the platform's front.
type resumePart struct {
	partDefaults
	path    string
	config  *ResumeConfig
	log     zerolog.Logger
	service *resume.Service
}

func newResumePart(path string, platform *Config, log zerolog.Logger) (part, error) {
	if platform == nil {
		return nil, errNeedsPlatform(path, "the platform's front can resume streams with a token")
	}
	config, err := ReadResumeConfig(path)
	if err != nil {
		return nil, err
	}
	return &resumePart{path: path, config: config, log: log.With().Str("part", "resume").Logger()}, nil
}

func (p *resumePart) name() string { return "resume" }

func (p *resumePart) join(front *frontHooks) {
	if front.platform == nil {
		return
	}
	p.service = resume.New(p.config.serviceConfig(front.relayName), p.config.keyRing, front.clock, p.log)
	front.platform.Resume = p.service
}

func (p *resumePart) start(ctx context.Context) error {
	go p.service.Run(ctx)
	return nil
}

func (p *resumePart) reload() (apply func(), err error) {
	next, err := ReadResumeConfig(p.path)
	if err != nil {
		return nil, err
	}
	return func() {
		p.service.SetKeys(next.keyRing)
		p.service.SetServers(next.OwnershipServers)
		p.log.Info().
			Str("sealing", next.keyRing.SealingKeyID()).
			Strs("claims", next.OwnershipServers).
			Bool("needs_restart", next.restartOnlySettings() != p.config.restartOnlySettings()).
			Msg("reloaded resume")
	}, nil
}

func (p *resumePart) leave() { p.service.Close(ownershipCloseTimeout) }

func (c *ResumeConfig) serviceConfig(name string) resume.Config {
	return resume.Config{
		Relay:              name,
		Servers:            c.OwnershipServers,
		Path:               c.OwnershipPath,
		SessionTimeout:     relay.DurationFromMillis(c.SessionMs),
		AcquireTimeout:     relay.DurationFromMillis(c.AcquireMs),
		TokenLifetime:      relay.DurationFromMillis(c.TokenLifetimeMs),
		TokenRenewInterval: relay.DurationFromMillis(c.TokenRenewMs),
		MaxClockSkew:       relay.DurationFromMillis(c.MaxClockSkewMs),
		SweepInterval:      relay.DurationFromMillis(c.SweepIntervalMs),
		AllServersResume:   c.AllServersResume,
	}
}
