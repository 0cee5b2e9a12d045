package lifecycle

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/rs/zerolog"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/resume"
	"capersail/internal/token"
)

// ResumeConfig is the operator's file for moving with a token; deploy/resume.toml says what each key means.
type ResumeConfig struct {
	Servers     []string `toml:"servers"`
	Path        string   `toml:"path"`
	SessionMs   float64  `toml:"session_ms"`
	Keys        string   `toml:"keys"`
	LifeMs      float64  `toml:"token_life_ms"`
	RenewMs     float64  `toml:"renew_ms"`
	ClaimMs     float64  `toml:"claim_ms"`
	SkewMs      float64  `toml:"skew_ms"`
	SweepMs     float64  `toml:"sweep_ms"`
	EveryServer bool     `toml:"every_server"`

	keyRing *token.KeyRing
}

// ReadResumeConfig reads the file and the keys that it names. An error names the file and the key.
func ReadResumeConfig(path string) (*ResumeConfig, error) {
	t := &ResumeConfig{Path: "/capersail/streams", SessionMs: 8000, LifeMs: 1_800_000, RenewMs: 5000, ClaimMs: 500, SkewMs: 2000, SweepMs: 600_000}
	meta, err := toml.DecodeFile(path, t)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, key := range meta.Undecoded() {
		return nil, fmt.Errorf("%s: %s: unknown key", path, key)
	}
	bad := ""
	for _, address := range t.Servers {
		if _, _, err := net.SplitHostPort(address); err != nil {
			bad = "servers: " + err.Error()
		}
	}
	switch {
	case bad != "":
	case len(t.Servers) == 0:
		bad = "servers: at least one is wanted"
	case !strings.HasPrefix(t.Path, "/") || t.Path == "/" || strings.HasSuffix(t.Path, "/") || strings.Contains(t.Path, "//"):
		bad = fmt.Sprintf("path: %q is not a path from / on without a / at its end", t.Path)
	case !(t.SessionMs >= relay.Millis(ownership.MinSessionTimeout) && t.SessionMs <= 120_000):
		bad = fmt.Sprintf("session_ms: from %v to 120000; claims are trusted for 0.95 of it less %v",
			relay.Millis(ownership.MinSessionTimeout), relay.Millis(ownership.ExpiryMargin))
	case !(t.LifeMs >= 10_000 && t.LifeMs <= 7*86_400_000):
		bad = "token_life_ms: from 10000 to 604800000 (a week)"
	case !(t.RenewMs >= 200 && t.RenewMs <= t.LifeMs/2):
		bad = "renew_ms: from 200 to half of token_life_ms"
	case !(t.ClaimMs >= 10 && t.ClaimMs <= 10_000):
		bad = "claim_ms: from 10 to 10000"
	case !(t.SkewMs >= 0 && t.SkewMs <= 600_000):
		bad = "skew_ms: from 0 to 600000"
	case !(t.SweepMs == 0 || t.SweepMs >= 1000):
		bad = "sweep_ms: 1000 at least, or 0 for never"
	case t.Keys == "":
		bad = "keys: not set; it names the file of the tokens' keys"
	}
	if bad != "" {
		return nil, fmt.Errorf("%s: %s", path, bad)
	}
	if t.keyRing, err = readTokenKeys(t.Keys); err != nil {
		return nil, fmt.Errorf("%s: keys: %s: %w", path, t.Keys, err)
	}
	return t, nil
}

// readTokenKeys reads a key file of tokens.
func readTokenKeys(path string) (*token.KeyRing, error) {
	text, err := readSecretFile(path)
	if err != nil {
		return nil, err
	}
	return token.ParseKeyFile(text)
}

// readSecretFile reads a file with secrets. Its mode is asked of the file that is read, not of its name.
func readSecretFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if err := token.CheckKeyFileMode(info); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(f, token.MaxKeyFileSize))
}

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

// restartOnly is what of the file a reload does not take in.
func (t *ResumeConfig) restartOnly() string {
	return fmt.Sprint(t.Path, t.SessionMs, t.LifeMs, t.RenewMs, t.ClaimMs, t.SkewMs, t.SweepMs, t.EveryServer)
}
