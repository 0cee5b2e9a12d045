package token

import (
	"bytes"
	"encoding/base64"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

func testKey(id string, fill byte) Key { return Key{id, bytes.Repeat([]byte{fill}, 32)} }

func newTestRing(t testing.TB, keys ...Key) *KeyRing {
	t.Helper()
	r, err := NewKeyRing(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// sampleToken returns a token in which all fields are set, most numbers to their maximum.
func sampleToken() *Token {
	return &Token{
		Stream:        NewStreamID(),
		FencingToken:  7,
		Class:         "map-stream",
		Tenant:        "agri-souss",
		Key:           1<<64 - 1,
		Group:         1<<64 - 1,
		Position:      1<<64 - 1,
		Server:        "s-5be2a07c",
		Relay:         "n3",
		IssuedUnixMs:  1_800_000_000_000,
		ExpiresUnixMs: 1_800_000_600_000,
	}
}

// A sealed token opens to the same values with its own ring and with one that has a newer key. No nonce is
// used twice, and long names of server and relay are truncated instead of making the token too long.
func TestSealedTokenOpensUnchanged(t *testing.T) {
	old, next := newTestRing(t, testKey("a", 1)), newTestRing(t, testKey("b", 2), testKey("a", 1))
	want := sampleToken()
	text, err := old.Seal(want)
	if err != nil || len(text) > MaxTokenLen {
		t.Fatalf("sealed token has %d bytes, error %v; want at most MaxTokenLen bytes", len(text), err)
	}
	for name, r := range map[string]*KeyRing{"its own ring": old, "a ring with a newer key": next} {
		if got, err := r.Open(text); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("opened with %s: got %+v, error %v, want the sealed token", name, got, err)
		}
	}
	if newer, _ := next.Seal(want); !strings.HasPrefix(newer, "cs1.b.") {
		t.Errorf("token is not sealed with the first key of the ring: %s", newer)
	}
	if again, _ := old.Seal(want); again == text {
		t.Error("two tokens have the same text, so a nonce was used twice")
	}
	long := sampleToken()
	long.Server, long.Relay = strings.Repeat("s", 300), strings.Repeat("r", 300)
	if text, err := old.Seal(long); err != nil || len(text) > MaxTokenLen {
		t.Errorf("long names of server and relay: token has %d bytes, error %v", len(text), err)
	}
	long.Tenant = strings.Repeat("t", 300)
	if _, err := old.Seal(long); !errors.Is(err, ErrNamesTooLong) {
		t.Errorf("tenant name of 300 bytes: got error %v, want ErrNamesTooLong", err)
	}
}

const base64url = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

// A text that was not sealed by a relay with the same keys is rejected, with an error that tells operators
// why.
func TestForeignTextIsRejected(t *testing.T) {
	r := newTestRing(t, testKey("a", 1))
	text, _ := r.Seal(sampleToken())
	removed, _ := newTestRing(t, testKey("z", 3)).Seal(sampleToken())
	sameID, _ := newTestRing(t, testKey("a", 9)).Seal(sampleToken())
	flipped := []byte(text) // with another digit of the alphabet; other characters would give ErrMalformed
	if flipped[40]++; !strings.ContainsRune(base64url, rune(flipped[40])) {
		flipped[40] = 'b'
	}
	for _, c := range []struct {
		name, in string
		want     error
	}{
		{"empty", "", ErrMalformed},
		{"cut to its head", "cs1.a.", ErrMalformed},
		{"without key", "cs1.", ErrMalformed},
		{"a byte changed", string(flipped), ErrForged},
		{"of another version", "cs2" + text[3:], ErrMalformed},
		{"by a key taken out", removed, ErrUnknownKey},
		{"by another key of that id", sameID, ErrForged},
		{"a line end inside", text[:30] + "\n" + text[30:], ErrMalformed},
		{"60 MB, of which nothing is decoded", "cs1.a." + strings.Repeat("A", 60<<20), ErrMalformed},
	} {
		if _, err := r.Open(c.in); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", c.name, err, c.want)
		}
	}
}

// A token is valid only for its own request and until it expires, with a tolerance for the skew of wall
// clocks.
func TestTokenIsBoundToItsRequest(t *testing.T) {
	k := sampleToken()
	own := k.Binding()
	other := func(change func(b *Binding)) Binding {
		b := own
		change(&b)
		return b
	}
	at := k.IssuedUnixMs + 1000
	for _, c := range []struct {
		name    string
		request Binding
		now     int64
		want    error
	}{
		{"as given", own, at, nil},
		{"another class", other(func(b *Binding) { b.Class = "zoom" }), at, ErrRequestMismatch},
		{"another tenant", other(func(b *Binding) { b.Tenant = "surf" }), at, ErrRequestMismatch},
		{"another key", other(func(b *Binding) { b.Key = 1 }), at, ErrRequestMismatch},
		{"another group", other(func(b *Binding) { b.Group = 1 }), at, ErrRequestMismatch},
		{"late within the skew", own, k.ExpiresUnixMs + 900, nil},
		{"expired", own, k.ExpiresUnixMs + 1001, ErrExpired},
		{"from the future", own, k.IssuedUnixMs - 1001, ErrExpired},
	} {
		err := k.Check(c.request, time.UnixMilli(c.now), time.Second)
		if !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s: got error %v, want %v", c.name, err, c.want)
		}
	}
}

// A token that is truncated at any length is rejected.
func TestTruncatedTokenIsRejected(t *testing.T) {
	r := newTestRing(t, testKey("a", 1))
	text, _ := r.Seal(sampleToken())
	for n := range text {
		if got, err := r.Open(text[:n]); err == nil {
			t.Fatalf("token truncated to %d bytes opened as %+v, want an error", n, got)
		}
	}
}

// FuzzOpen checks that no text makes Open panic, and that only the exact text of a sealed token opens.
func FuzzOpen(f *testing.F) {
	r := newTestRing(f, testKey("a", 1), testKey("b", 2))
	text, _ := r.Seal(sampleToken())
	f.Add(text)
	f.Add("cs1.b." + text[6:])
	f.Add(text[:len(text)-1])
	f.Fuzz(func(t *testing.T, in string) {
		if got, err := r.Open(in); err == nil && in != text {
			t.Errorf("text %q, which was not sealed, opened as %+v", in, got)
		}
	})
}

// FuzzForeignBody checks that a body which is sealed with the right key either opens to a token that can be
// sealed again or is rejected as a whole.
func FuzzForeignBody(f *testing.F) {
	r := newTestRing(f, testKey("a", 1))
	f.Add([]byte{0xa1, 0x02, 0x07})
	f.Add([]byte{0xa2, 0x02, 0x07, 0x02, 0x08})
	f.Fuzz(func(t *testing.T, body []byte) {
		c, head := r.ciphers["a"], "cs1.a."
		buf := c.Seal(make([]byte, 24), make([]byte, 24), body, []byte(head))
		text := head + base64.RawURLEncoding.EncodeToString(buf)
		if got, err := r.Open(text); err == nil {
			if _, err := r.Seal(got); err != nil && !errors.Is(err, ErrNamesTooLong) {
				t.Errorf("opened token %+v cannot be sealed again: %v", got, err)
			}
		}
	})
}

func BenchmarkTokenSeal(b *testing.B) {
	r, k := newTestRing(b, testKey("a", 1)), sampleToken()
	b.ReportAllocs()
	for b.Loop() {
		r.Seal(k)
	}
}

func BenchmarkTokenOpen(b *testing.B) {
	r := newTestRing(b, testKey("a", 1))
	text, _ := r.Seal(sampleToken())
	b.ReportMetric(float64(len(text)), "bytes")
	b.ReportAllocs()
	for b.Loop() {
		r.Open(text)
	}
}
