package lifecycle

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"capersail/internal/token"
)

// readGossipKeys reads the keys that seal packets: one a line as base64, 16, 24 or 32 bytes, the first seals.
// Errors never show a secret.
func readGossipKeys(path string) (keys [][]byte, err error) {
	text, err := readSecretFile(path)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: not base64", path, i+1)
		}
		if n := len(key); n != 16 && n != 24 && n != 32 {
			return nil, fmt.Errorf("%s: line %d: %d bytes; 16, 24 or 32 are wanted", path, i+1, n)
		}
		if slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			return nil, fmt.Errorf("%s: line %d: the key is there twice", path, i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: no key", path)
	}
	return keys, nil
}

// readTokenKeys reads a key file of tokens.
func readTokenKeys(path string) (*token.KeyRing, error) {
	text, err := readSecretFile(path)
	if err != nil {
		return nil, err
	}
	return token.ParseKeyFile(text)
}

// readSecretFile reads a file with secrets. Its mode is asked of the file that is read, not of its name.
func readSecretFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if err := token.CheckKeyFileMode(info); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(f, token.MaxKeyFileSize))
}
