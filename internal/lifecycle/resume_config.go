package lifecycle

import (
	"fmt"
	"net"
	"strings"

	"github.com/BurntSushi/toml"

	"capersail/internal/ownership"
	"capersail/internal/relay"
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

// restartOnly is what of the file a reload does not take in.
func (t *ResumeConfig) restartOnly() string {
	return fmt.Sprint(t.Path, t.SessionMs, t.LifeMs, t.RenewMs, t.ClaimMs, t.SkewMs, t.SweepMs, t.EveryServer)
}
