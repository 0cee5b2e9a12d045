package token

import (
	"bytes"
	"encoding/base64"
	"errors"
	"os"
	"strings"
	"testing"
)

// storedTokens are the tokens in testdata/tokens.txt, line by line, sealed by the version of 2026-12-03: the
// first two with the first key in testdata/keys.toml, the third with the second key.
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

// countingReader returns the bytes 0, 1, 2 and so on, as known nonces.
type countingReader struct{ next byte }

func (c *countingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = c.next
		c.next++
	}
	return len(p), nil
}

// storedRing returns the ring of testdata/keys.toml, with the key that seals and known nonces.
func storedRing(t *testing.T, keyID string) *KeyRing {
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
		t.Fatalf("sealing key is %q, want k2, the first key in the file", r.SealingKeyID())
	}
	r.sealingID, r.random = keyID, &countingReader{}
	return r
}

// Guards against a change of the token format. Clients keep their tokens during an upgrade of the relays, so
// tokens from an earlier version must open to the same values, and the same nonce must give the same text.
func TestStoredTokensStayReadable(t *testing.T) {
	text, err := os.ReadFile("testdata/tokens.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(text))
	if len(lines) != len(storedTokens) {
		t.Fatalf("%d tokens in testdata/tokens.txt, want %d", len(lines), len(storedTokens))
	}
	for i, line := range lines {
		keyID := "k2"
		if i == 2 {
			keyID = "k1"
		}
		r := storedRing(t, keyID)
		if got, err := r.Open(line); err != nil || *got != storedTokens[i] {
			t.Errorf("token %d: opened as %+v, error %v, want %+v", i, got, err, storedTokens[i])
		}
		if sealed, err := r.Seal(&storedTokens[i]); err != nil || sealed != line {
			t.Errorf("token %d: sealed as %s, error %v, want %s", i, sealed, err, line)
		}
	}
	other := newTestRing(t, Key{"k2", bytes.Repeat([]byte{9}, 32)})
	if _, err := other.Open(lines[0]); !errors.Is(err, ErrForged) {
		t.Errorf("opened with another secret: got error %v, want ErrForged", err)
	}
}

// The secret in a stored key file is decoded without a changed byte.
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
		t.Fatal("testdata/keys.toml does not contain the secret with the bytes 0 to 31")
	}
	sealed, err := newTestRing(t, Key{"k2", secret}).Seal(&storedTokens[0])
	if err != nil {
		t.Fatal(err)
	}
	if got, err := storedRing(t, "k2").Open(sealed); err != nil || *got != storedTokens[0] {
		t.Errorf("token opened as %+v, error %v, want the first stored token", got, err)
	}
}
