package lifecycle

import (
	"fmt"
	"net"
	"strings"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/token"
)

// ResumeConfig is the operator's file for streams that are resumed with a token. The keys are described in
// deploy/resume.toml.
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

// ReadResumeConfig reads and checks the file and the key file that it names. The error is the *ConfigError
// of the first problem.
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

// check adds the problems of the values. NaN fails every comparison, so the conditions test for values
// inside the range.
func (c *ResumeConfig) check(problems *configProblems) {
	for _, address := range c.OwnershipServers {
		_, _, err := net.SplitHostPort(address)
		problems.add("servers", err)
	}
	const week = 7 * 86_400_000
	minSession, margin := relay.Millis(ownership.MinSessionTimeout), relay.Millis(ownership.ExpiryMargin)
	problems.addIf(len(c.OwnershipServers) == 0, "servers", "at least one is needed")
	problems.addIf(!isCleanPath(c.OwnershipPath), "path",
		"%q is not an absolute path below / without a / at its end or an empty element", c.OwnershipPath)
	problems.addIf(!(c.SessionMs >= minSession && c.SessionMs <= 120_000), "session_ms",
		"want %v to 120000; the ownership lease lasts 0.95 of the value minus %v", minSession, margin)
	problems.addIf(!(c.TokenLifetimeMs >= 10_000 && c.TokenLifetimeMs <= week), "token_life_ms",
		"want 10000 to %d (a week)", week)
	problems.addIf(!(c.TokenRenewMs >= 200 && c.TokenRenewMs <= c.TokenLifetimeMs/2), "renew_ms",
		"want 200 to half of token_life_ms")
	problems.addIf(!(c.AcquireMs >= 10 && c.AcquireMs <= 10_000), "claim_ms", "want 10 to 10000")
	problems.addIf(!(c.MaxClockSkewMs >= 0 && c.MaxClockSkewMs <= 600_000), "skew_ms", "want 0 to 600000")
	problems.addIf(!(c.SweepIntervalMs == 0 || c.SweepIntervalMs >= 1000), "sweep_ms",
		"want at least 1000, or 0 to turn sweeps off")
	problems.addIf(c.KeysFile == "", "keys", "not set: set it to the path of the key file for tokens")
}

// isCleanPath reports whether a path of the ownership service is absolute, is not the root, and has no empty
// element.
func isCleanPath(path string) bool {
	return strings.HasPrefix(path, "/") && path != "/" &&
		!strings.HasSuffix(path, "/") && !strings.Contains(path, "//")
}

// restartOnlySettings returns the values of the settings that change only by a restart, as one text to
// compare.
func (c *ResumeConfig) restartOnlySettings() string {
	return fmt.Sprint(
		c.OwnershipPath, c.SessionMs, c.TokenLifetimeMs, c.TokenRenewMs,
		c.AcquireMs, c.MaxClockSkewMs, c.SweepIntervalMs, c.AllServersResume)
}
