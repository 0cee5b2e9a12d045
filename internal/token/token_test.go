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

// sampleToken is a token with fields as large as they get.
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

// What was sealed opens as it was, under its own ring and one with a newer key; no nonce is used twice; and
// names of machines are cut rather than make a token too long.
func TestSealedTokenOpensUnchanged(t *testing.T) {
	old, next := newTestRing(t, testKey("a", 1)), newTestRing(t, testKey("b", 2), testKey("a", 1))
	want := sampleToken()
	text, err := old.Seal(want)
	if err != nil || len(text) > MaxTokenLen {
		t.Fatalf("%d bytes, %v", len(text), err)
	}
	for name, r := range map[string]*KeyRing{"its own ring": old, "a ring with a newer key": next} {
		if got, err := r.Open(text); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
	if newer, _ := next.Seal(want); !strings.HasPrefix(newer, "cs1.b.") {
		t.Errorf("a new key must seal at once: %s", newer)
	}
	if again, _ := old.Seal(want); again == text {
		t.Error("a nonce was used twice")
	}
	long := sampleToken()
	long.Server, long.Relay = strings.Repeat("s", 300), strings.Repeat("r", 300)
	if text, err := old.Seal(long); err != nil || len(text) > MaxTokenLen {
		t.Errorf("long names of machines: %d bytes, %v", len(text), err)
	}
	long.Tenant = strings.Repeat("t", 300)
	if _, err := old.Seal(long); !errors.Is(err, ErrNamesTooLong) {
		t.Errorf("a tenant of 300 bytes: %v", err)
	}
}

const base64url = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

// A text that no relay of ours sealed is rejected, with the reason that tells an operator why.
func TestForeignTextIsRejected(t *testing.T) {
	r := newTestRing(t, testKey("a", 1))
	text, _ := r.Seal(sampleToken())
	removed, _ := newTestRing(t, testKey("z", 3)).Seal(sampleToken())
	sameID, _ := newTestRing(t, testKey("a", 9)).Seal(sampleToken())
	flip := []byte(text) // another digit of the same alphabet: what is not base64url has the wrong form
	if flip[40]++; !strings.ContainsRune(base64url, rune(flip[40])) {
		flip[40] = 'b'
	}
	for _, c := range []struct {
		name, in string
		want     error
	}{
		{"empty", "", ErrMalformed},
		{"cut to its head", "cs1.a.", ErrMalformed},
		{"without key", "cs1.", ErrMalformed},
		{"a byte changed", string(flip), ErrForged},
		{"of another version", "cs2" + text[3:], ErrMalformed},
		{"by a key taken out", removed, ErrUnknownKey},
		{"by another key of that id", sameID, ErrForged},
		{"a line end inside", text[:30] + "\n" + text[30:], ErrMalformed},
		{"60 MB, of which nothing is decoded", "cs1.a." + strings.Repeat("A", 60<<20), ErrMalformed},
	} {
		if _, err := r.Open(c.in); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// A token is good for its own request and its own time only, within the skew of wall clocks.
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
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

// A token cut anywhere opens nowhere.
func TestTruncatedTokenIsRejected(t *testing.T) {
	r := newTestRing(t, testKey("a", 1))
	text, _ := r.Seal(sampleToken())
	for n := range text {
		if got, err := r.Open(text[:n]); err == nil {
			t.Fatalf("cut to %d bytes it opens as %+v", n, got)
		}
	}
}

// FuzzOpen: no text makes Open panic, and what opens is what was sealed, one text for each token.
func FuzzOpen(f *testing.F) {
	r := newTestRing(f, testKey("a", 1), testKey("b", 2))
	text, _ := r.Seal(sampleToken())
	f.Add(text)
	f.Add("cs1.b." + text[6:])
	f.Add(text[:len(text)-1])
	f.Fuzz(func(t *testing.T, in string) {
		if got, err := r.Open(in); err == nil && in != text {
			t.Errorf("%q opens as %+v", in, got)
		}
	})
}

// FuzzForeignBody: a body that was sealed with the right key but is not what relays write is rejected, not
// half read.
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
				t.Error(err)
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
