package token

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"

	"github.com/BurntSushi/toml"
)

// MaxKeyFileSize is the maximum size of a key file in bytes.
const MaxKeyFileSize = 64 << 10

// forbiddenKeyFileMode contains the permission bits that a key file must not have: all bits for group and
// others.
const forbiddenKeyFileMode fs.FileMode = 0o077

// CheckKeyFileMode rejects a key file that users other than its owner can access, that is not a regular file
// or that is too large.
func CheckKeyFileMode(info fs.FileInfo) error {
	switch {
	case !info.Mode().IsRegular():
		return fmt.Errorf("not a regular file (%s)", info.Mode())
	case info.Mode().Perm()&forbiddenKeyFileMode != 0:
		return fmt.Errorf("mode %04o lets other users access the keys; want 0600", info.Mode().Perm())
	case info.Size() > MaxKeyFileSize:
		return fmt.Errorf("key file has %d bytes; the maximum is %d", info.Size(), MaxKeyFileSize)
	}
	return nil
}

// keyFile is the content of a key file.
type keyFile struct {
	Key []struct {
		ID     string `toml:"id"`
		Secret string `toml:"secret"`
	} `toml:"key"`
}

// ParseKeyFile parses a key file, which contains [[key]] tables with an id and a secret of 32 bytes in
// standard base64. The first key seals new tokens. Errors name the key and never contain a secret.
func ParseKeyFile(text []byte) (*KeyRing, error) {
	var file keyFile
	meta, err := toml.Decode(string(text), &file)
	if err != nil {
		var p toml.ParseError
		if errors.As(err, &p) { // the text of err contains the line, which may contain a secret
			return nil, fmt.Errorf("line %d: not valid TOML", p.Position.Line)
		}
		return nil, errors.New("key: must be a [[key]] table with id and secret, both strings")
	}
	for _, key := range meta.Undecoded() {
		return nil, fmt.Errorf("%s: unknown key", key)
	}
	keys := make([]Key, len(file.Key))
	for i, k := range file.Key {
		secret, err := base64.StdEncoding.DecodeString(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("key %d (%s): secret: not valid base64", i+1, k.ID)
		}
		keys[i] = Key{ID: k.ID, Secret: secret}
	}
	return NewKeyRing(keys)
}
