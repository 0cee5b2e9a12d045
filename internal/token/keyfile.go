package token

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"

	"github.com/BurntSushi/toml"
)

// MaxKeyFileSize bounds a key file, in bytes.
const MaxKeyFileSize = 64 << 10

// forbiddenKeyFileMode are the permission bits that a key file must not have.
const forbiddenKeyFileMode fs.FileMode = 0o077

// CheckKeyFileMode rejects a key file that others than its owner can read or write.
func CheckKeyFileMode(info fs.FileInfo) error {
	switch {
	case !info.Mode().IsRegular():
		return fmt.Errorf("not a regular file (%s)", info.Mode())
	case info.Mode().Perm()&forbiddenKeyFileMode != 0:
		return fmt.Errorf("mode %04o lets others at the keys; 0600 is wanted", info.Mode().Perm())
	case info.Size() > MaxKeyFileSize:
		return fmt.Errorf("%d bytes; at most %d are wanted", info.Size(), MaxKeyFileSize)
	}
	return nil
}

// keyFile is a key file's content.
type keyFile struct {
	Key []struct {
		ID     string `toml:"id"`
		Secret string `toml:"secret"`
	} `toml:"key"`
}

// ParseKeyFile reads a key file: [[key]] tables with id and secret, 32 bytes as standard base64. The first
// seals. Errors name the key and never show a secret.
func ParseKeyFile(text []byte) (*KeyRing, error) {
	var file keyFile
	meta, err := toml.Decode(string(text), &file)
	if err != nil {
		var p toml.ParseError
		if errors.As(err, &p) { // its own text shows the line, and with it perhaps a secret
			return nil, fmt.Errorf("line %d: not TOML", p.Position.Line)
		}
		return nil, errors.New("key: a table with id and secret, both text, is wanted")
	}
	for _, key := range meta.Undecoded() {
		return nil, fmt.Errorf("%s: unknown key", key)
	}
	keys := make([]Key, len(file.Key))
	for i, k := range file.Key {
		secret, err := base64.StdEncoding.DecodeString(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("key %d (%s): secret: not base64", i+1, k.ID)
		}
		keys[i] = Key{ID: k.ID, Secret: secret}
	}
	return NewKeyRing(keys)
}
