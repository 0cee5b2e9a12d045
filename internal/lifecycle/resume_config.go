package lifecycle

import (
	"fmt"
	"net"
	"strings"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/token"
)

// ResumeConfig is the operator's file for moving with a token; deploy/resume.toml says what each key means.
type ResumeConfig struct {
	OwnershipServers []string `toml:"servers"`
	OwnershipPath    string   `toml:"path"`
	SessionMs        float64  `toml:"session_ms"`
	KeysFile         string   `toml:"keys"`
	TokenLifetimeMs  float64  `toml:"token_life_ms"`
	TokenRenewMs     float64  `toml:"renew_ms"`
	AcquireMs        float64  `toml:"claim_ms"`
	MaxClockSkewMs   float64  `toml:"skew_ms"`
	SweepIntervalMs  float64  `toml:"sweep_ms"`
	AllServersResume bool     `toml:"every_server"`

	keyRing *token.KeyRing
}

// ReadResumeConfig reads the file and the keys that it names. An error is a *ConfigError for the first
// problem.
func ReadResumeConfig(path string) (*ResumeConfig, error) {
	c := &ResumeConfig{
		OwnershipPath:   "/capersail/streams",
		SessionMs:       8000,
		TokenLifetimeMs: 1_800_000,
		TokenRenewMs:    5000,
		AcquireMs:       500,
		MaxClockSkewMs:  2000,
		SweepIntervalMs: 600_000,
	}
	problems, err := decodeFile(path, c)
	if err != nil {
		return nil, err
	}
	c.check(problems)
	if err := problems.first(); err != nil {
		return nil, err
	}
	c.keyRing, err = readTokenKeys(c.KeysFile)
	if err != nil {
		return nil, &ConfigError{File: path, Key: "keys", Err: fmt.Errorf("%s: %w", c.KeysFile, err)}
	}
	return c, nil
}

// check finds what is wrong with the values. What is no number fails each comparison, so ranges are asked
// for, not their outside.
func (c *ResumeConfig) check(problems *configProblems) {
	for _, address := range c.OwnershipServers {
		_, _, err := net.SplitHostPort(address)
		problems.add("servers", err)
	}
	const week = 7 * 86_400_000
	minSession, margin := relay.Millis(ownership.MinSessionTimeout), relay.Millis(ownership.ExpiryMargin)
	problems.addIf(len(c.OwnershipServers) == 0, "servers", "at least one is wanted")
	problems.addIf(!isCleanPath(c.OwnershipPath), "path",
		"%q is not an absolute path below / without a / at its end or an empty element", c.OwnershipPath)
	problems.addIf(!(c.SessionMs >= minSession && c.SessionMs <= 120_000), "session_ms",
		"from %v to 120000; ownership is trusted for 0.95 of it less %v", minSession, margin)
	problems.addIf(!(c.TokenLifetimeMs >= 10_000 && c.TokenLifetimeMs <= week), "token_life_ms",
		"from 10000 to %d (a week)", week)
	problems.addIf(!(c.TokenRenewMs >= 200 && c.TokenRenewMs <= c.TokenLifetimeMs/2), "renew_ms",
		"from 200 to half of token_life_ms")
	problems.addIf(!(c.AcquireMs >= 10 && c.AcquireMs <= 10_000), "claim_ms", "from 10 to 10000")
	problems.addIf(!(c.MaxClockSkewMs >= 0 && c.MaxClockSkewMs <= 600_000), "skew_ms", "from 0 to 600000")
	problems.addIf(!(c.SweepIntervalMs == 0 || c.SweepIntervalMs >= 1000), "sweep_ms",
		"1000 at least, or 0 for never")
	problems.addIf(c.KeysFile == "", "keys", "not set; it names the file of the tokens' keys")
}

// isCleanPath tells whether a path of the ownership service is absolute, not the root, and without an empty
// part.
func isCleanPath(path string) bool {
	return strings.HasPrefix(path, "/") && path != "/" &&
		!strings.HasSuffix(path, "/") && !strings.Contains(path, "//")
}

// restartOnlySettings is what of the file a reload does not take in.
func (c *ResumeConfig) restartOnlySettings() string {
	return fmt.Sprint(
		c.OwnershipPath, c.SessionMs, c.TokenLifetimeMs, c.TokenRenewMs,
		c.AcquireMs, c.MaxClockSkewMs, c.SweepIntervalMs, c.AllServersResume)
}
