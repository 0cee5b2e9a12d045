package lifecycle

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
	"capersail/internal/resume"
)

// ownershipCloseTimeout is how long the end of the session with the ownership service is waited for; it ends by itself
// too, but later.
const ownershipCloseTimeout = 150 * time.Millisecond

// resumePart is moving with a token as a part.
func resumePart(path string, c *Config, log zerolog.Logger) (*part, error) {
	if c == nil {
		return nil, fmt.Errorf("%s: LB_CONFIG is not set: only the platform's front moves with a token", path)
	}
	t, err := ReadResumeConfig(path)
	if err != nil {
		return nil, err
	}
	log = log.With().Str("part", "resume").Logger()
	var service *resume.Service
	return &part{
		name: "resume",
		join: func(s *frontSeam) {
			if s.platform != nil {
				service = resume.New(t.serviceConfig(s.relay), t.keyRing, s.clock, log)
				s.platform.Resume = service
			}
		},
		start: func(ctx context.Context) error {
			go service.Run(ctx)
			return nil
		},
		reload: func() (func(), error) {
			n, err := ReadResumeConfig(path)
			if err != nil {
				return nil, err
			}
			return func() {
				service.SetKeys(n.keyRing)
				service.SetServers(n.Servers)
				log.Info().Str("sealing", n.keyRing.SealingKeyID()).Strs("claims", n.Servers).
					Bool("needs_restart", n.restartOnly() != t.restartOnly()).Msg("reloaded resume")
			}, nil
		},
		leave: func() { service.Close(ownershipCloseTimeout) },
	}, nil
}

func (t *ResumeConfig) serviceConfig(name string) resume.Config {
	return resume.Config{
		Relay:              name,
		Servers:            t.Servers,
		Path:               t.Path,
		SessionTimeout:     relay.Duration(t.SessionMs),
		AcquireTimeout:     relay.Duration(t.ClaimMs),
		TokenLifetime:      relay.Duration(t.LifeMs),
		TokenRenewInterval: relay.Duration(t.RenewMs),
		MaxClockSkew:       relay.Duration(t.SkewMs),
		SweepInterval:      relay.Duration(t.SweepMs),
		AllServersResume:   t.EveryServer,
	}
}
