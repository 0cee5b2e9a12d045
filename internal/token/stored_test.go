package token

import (
	"bytes"
	"encoding/base64"
	"errors"
	"os"
	"strings"
	"testing"
)

// storedTokens are the tokens of testdata/tokens.txt, which the version of 2026-12-03 sealed, line by line:
// the first two under the first key of testdata/keys.toml, the third under its second.
var storedTokens = []Token{
	{
		Stream:       StreamID{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 255},
		FencingToken: 7, Class: "map-stream", Tenant: "agri-souss",
		Key: 1<<64 - 1, Group: 5, Position: 4711, Server: "s-5be2a07c", Relay: "n3",
		IssuedUnixMs: 1_800_000_000_000, ExpiresUnixMs: 1_800_000_600_000,
	},
	{
		Stream:       StreamID{15: 1},
		FencingToken: 1, Class: "zoom",
		IssuedUnixMs: 1_800_000_000_000, ExpiresUnixMs: 1_800_000_600_000,
	},
	{
		Stream:       StreamID{1: 1},
		FencingToken: 1<<64 - 1, Class: "map-stream", Tenant: "acme",
		Key: 1, Group: 1<<64 - 1, Position: 1<<64 - 1,
		Server: strings.Repeat("s", 40), Relay: strings.Repeat("r", 40),
		IssuedUnixMs: 1, ExpiresUnixMs: 1<<63 - 1,
	},
}

// countingReader gives nonces that are known: 0, 1, 2 and so on, byte after byte.
type countingReader struct{ next byte }

func (c *countingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = c.next
		c.next++
	}
	return len(p), nil
}

// storedRing is the ring of testdata/keys.toml, with the key that seals and nonces that are known.
func storedRing(t *testing.T, seals string) *KeyRing {
	t.Helper()
	text, err := os.ReadFile("testdata/keys.toml")
	if err != nil {
		t.Fatal(err)
	}
	r, err := ParseKeyFile(text)
	if err != nil {
		t.Fatal(err)
	}
	if r.SealingKeyID() != "k2" {
		t.Fatalf("%q seals, want the file's first key", r.SealingKeyID())
	}
	r.sealingID, r.random = seals, &countingReader{}
	return r
}

// Tokens that an earlier version gave out open to the same values, and with the same nonce the same text is
// sealed: clients keep them over an upgrade of the relays.
func TestStoredTokensStayReadable(t *testing.T) {
	text, err := os.ReadFile("testdata/tokens.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(text))
	if len(lines) != len(storedTokens) {
		t.Fatalf("%d tokens in the file, %d expected", len(lines), len(storedTokens))
	}
	for i, line := range lines {
		seals := "k2"
		if i == 2 {
			seals = "k1"
		}
		r := storedRing(t, seals)
		if got, err := r.Open(line); err != nil || *got != storedTokens[i] {
			t.Errorf("token %d: opens as %+v, %v, want %+v", i, got, err, storedTokens[i])
		}
		if sealed, err := r.Seal(&storedTokens[i]); err != nil || sealed != line {
			t.Errorf("token %d: sealed as %s, %v, want %s", i, sealed, err, line)
		}
	}
	other := newTestRing(t, Key{"k2", bytes.Repeat([]byte{9}, 32)})
	if _, err := other.Open(lines[0]); !errors.Is(err, ErrForged) {
		t.Errorf("under another secret: %v", err)
	}
}

// The secrets of a stored key file are read byte for byte.
func TestStoredKeysAreReadExactly(t *testing.T) {
	secret := make([]byte, 32)
	for i := range secret {
		secret[i] = byte(i)
	}
	text, err := os.ReadFile("testdata/keys.toml")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), base64.StdEncoding.EncodeToString(secret)) {
		t.Fatal("the file does not hold the secret of bytes 0 to 31")
	}
	sealed, err := newTestRing(t, Key{"k2", secret}).Seal(&storedTokens[0])
	if err != nil {
		t.Fatal(err)
	}
	if got, err := storedRing(t, "k2").Open(sealed); err != nil || *got != storedTokens[0] {
		t.Errorf("%+v, %v", got, err)
	}
}
