package token

import (
	"bytes"
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Errors about a key file name the key and the problem, and never contain a secret.
func TestKeyFileErrorsNameTheKeyOnly(t *testing.T) {
	secret := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{5}, 32))
	for _, c := range []struct{ name, text, want string }{
		{"good", "[[key]]\nid='a'\nsecret='" + secret + "'\n", ""},
		{"none", "", "key: at least one"},
		{"short", "[[key]]\nid='a'\nsecret='AAAA'", "key 1 (a): secret: 3 bytes"},
		{"no base64", "[[key]]\nid='a'\nsecret='hush!'", "key 1 (a): secret: not valid base64"},
		{"twice", strings.Repeat("[[key]]\nid='a'\nsecret='"+secret+"'\n", 2),
			`key 2: id: "a" is used twice`},
		{"bad id", "[[key]]\nid='a.b'\nsecret='" + secret + "'", "key 1: id: "},
		{"unknown", "sele='a'\n[[key]]\nid='a'\nsecret='" + secret + "'", "sele: unknown key"},
		{"not TOML", "[[key]]\nid='a'\nsecret=hush!", "line 3: not valid TOML"},
		{"a number", "[[key]]\nid='a'\nsecret=77", "key: must be a [[key]] table"},
	} {
		_, err := ParseKeyFile([]byte(c.text))
		if got := ""; err != nil {
			got = err.Error()
			if !strings.HasPrefix(got, c.want) || c.want == "" || strings.Contains(got, "hush") {
				t.Errorf("%s: wrong error, or a secret in it: %q", c.name, got)
			}
		} else if c.want != "" {
			t.Errorf("%s: key file accepted, want an error", c.name)
		}
	}
}

// A key file that users other than its owner can read is rejected.
func TestKeyFileModeIsPrivate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	for mode, ok := range map[os.FileMode]bool{0o600: true, 0o400: true, 0o640: false, 0o604: false} {
		os.WriteFile(path, nil, 0o600)
		os.Chmod(path, mode)
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := CheckKeyFileMode(info); (err == nil) != ok {
			t.Errorf("key file with mode %o: got error %v; want one only if others have access", mode, err)
		}
	}
}
