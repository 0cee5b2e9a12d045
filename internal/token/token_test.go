package token

import (
	"bytes"
	"encoding/base64"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func key(id string, fill byte) Key { return Key{id, bytes.Repeat([]byte{fill}, 32)} }

func ring(t testing.TB, keys ...Key) *KeyRing {
	t.Helper()
	r, err := NewKeyRing(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func sample() *Token {
	return &Token{Stream: NewStreamID(), FencingToken: 7, Class: "map-stream", Tenant: "agri-souss", Key: 1<<64 - 1, Group: 1<<64 - 1,
		Position: 1<<64 - 1, Server: "s-5be2a07c", Relay: "n3", IssuedUnixMs: 1_800_000_000_000, ExpiresUnixMs: 1_800_000_600_000}
}

func TestSealedTokenOpensUnchanged(t *testing.T) {
	old, next := ring(t, key("a", 1)), ring(t, key("b", 2), key("a", 1))
	want := sample()
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
	long := sample()
	long.Server, long.Relay = strings.Repeat("s", 300), strings.Repeat("r", 300)
	if text, err := old.Seal(long); err != nil || len(text) > MaxTokenLen {
		t.Errorf("long names of machines: %d bytes, %v", len(text), err)
	}
	long.Tenant = strings.Repeat("t", 300)
	if _, err := old.Seal(long); !errors.Is(err, ErrTooLong) {
		t.Errorf("a tenant of 300 bytes: %v", err)
	}
}

const base64url = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

func TestForeignTextIsRejected(t *testing.T) {
	r := ring(t, key("a", 1))
	text, _ := r.Seal(sample())
	removed, _ := ring(t, key("z", 3)).Seal(sample())
	sameID, _ := ring(t, key("a", 9)).Seal(sample())
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
		{"60 MB", "cs1.a." + strings.Repeat("A", 60<<20), ErrMalformed},
	} {
		if _, err := r.Open(c.in); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

func TestTokenIsBoundToItsRequest(t *testing.T) {
	k := sample()
	at := k.IssuedUnixMs + 1000
	for _, c := range []struct {
		name          string
		class, tenant string
		key, group    uint64
		now           int64
		want          error
	}{
		{"as given", k.Class, k.Tenant, k.Key, k.Group, at, nil},
		{"another class", "zoom", k.Tenant, k.Key, k.Group, at, ErrMismatch},
		{"another tenant", k.Class, "surf", k.Key, k.Group, at, ErrMismatch},
		{"another key", k.Class, k.Tenant, 1, k.Group, at, ErrMismatch},
		{"another group", k.Class, k.Tenant, k.Key, 1, at, ErrMismatch},
		{"late within the skew", k.Class, k.Tenant, k.Key, k.Group, k.ExpiresUnixMs + 900, nil},
		{"expired", k.Class, k.Tenant, k.Key, k.Group, k.ExpiresUnixMs + 1001, ErrExpired},
		{"from the future", k.Class, k.Tenant, k.Key, k.Group, k.IssuedUnixMs - 1001, ErrExpired},
	} {
		if err := k.Check(c.class, c.tenant, c.key, c.group, c.now, 1000); !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

func TestKeyFileErrorsNameTheKeyOnly(t *testing.T) {
	secret := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{5}, 32))
	for _, c := range []struct{ name, text, want string }{
		{"good", "[[key]]\nid='a'\nsecret='" + secret + "'\n", ""},
		{"none", "", "key: at least one"},
		{"short", "[[key]]\nid='a'\nsecret='AAAA'", "key 1 (a): secret: 3 bytes"},
		{"no base64", "[[key]]\nid='a'\nsecret='hush!'", "key 1 (a): secret: not base64"},
		{"twice", strings.Repeat("[[key]]\nid='a'\nsecret='"+secret+"'\n", 2), `key 2: id: "a" stands twice`},
		{"bad id", "[[key]]\nid='a.b'\nsecret='" + secret + "'", "key 1: id: "},
		{"unknown", "sele='a'\n[[key]]\nid='a'\nsecret='" + secret + "'", "sele: unknown key"},
		{"not TOML", "[[key]]\nid='a'\nsecret=hush!", "line 3: not TOML"},
		{"a number", "[[key]]\nid='a'\nsecret=77", "key: a table"},
	} {
		_, err := ParseKeyFile([]byte(c.text))
		if got := ""; err != nil {
			got = err.Error()
			if !strings.HasPrefix(got, c.want) || c.want == "" || strings.Contains(got, "hush") {
				t.Errorf("%s: %q", c.name, got)
			}
		} else if c.want != "" {
			t.Errorf("%s: taken", c.name)
		}
	}
	path := filepath.Join(t.TempDir(), "keys")
	for mode, ok := range map[os.FileMode]bool{0o600: true, 0o400: true, 0o640: false, 0o604: false} {
		os.WriteFile(path, nil, 0o600)
		os.Chmod(path, mode)
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := CheckKeyFileMode(info); (err == nil) != ok {
			t.Errorf("mode %o: %v", mode, err)
		}
	}
}

// A token cut anywhere opens nowhere.
func TestTruncatedTokenIsRejected(t *testing.T) {
	r := ring(t, key("a", 1))
	text, _ := r.Seal(sample())
	for n := range text {
		if got, err := r.Open(text[:n]); err == nil {
			t.Fatalf("cut to %d bytes it opens as %+v", n, got)
		}
	}
}

// FuzzOpen: no text makes Open panic, and what opens is what was sealed: one text for each token.
func FuzzOpen(f *testing.F) {
	r := ring(f, key("a", 1), key("b", 2))
	text, _ := r.Seal(sample())
	f.Add(text)
	f.Add("cs1.b." + text[6:])
	f.Add(text[:len(text)-1])
	f.Fuzz(func(t *testing.T, in string) {
		if got, err := r.Open(in); err == nil && in != text {
			t.Errorf("%q opens as %+v", in, got)
		}
	})
}

// FuzzForeignBody: a body that was sealed with the right key but is not what relays write is refused, not half read.
func FuzzForeignBody(f *testing.F) {
	r := ring(f, key("a", 1))
	f.Add([]byte{0xa1, 0x02, 0x07})
	f.Add([]byte{0xa2, 0x02, 0x07, 0x02, 0x08})
	f.Fuzz(func(t *testing.T, body []byte) {
		c, head := r.ciphers["a"], "cs1.a."
		buf := c.Seal(make([]byte, 24), make([]byte, 24), body, []byte(head))
		text := head + base64.RawURLEncoding.EncodeToString(buf)
		if got, err := r.Open(text); err == nil {
			if _, err := r.Seal(got); err != nil && !errors.Is(err, ErrTooLong) {
				t.Error(err)
			}
		}
	})
}

func BenchmarkTokenSeal(b *testing.B) {
	r, k := ring(b, key("a", 1)), sample()
	b.ReportAllocs()
	for b.Loop() {
		r.Seal(k)
	}
}

func BenchmarkTokenOpen(b *testing.B) {
	r := ring(b, key("a", 1))
	text, _ := r.Seal(sample())
	b.ReportMetric(float64(len(text)), "bytes")
	b.ReportAllocs()
	for b.Loop() {
		r.Open(text)
	}
}
