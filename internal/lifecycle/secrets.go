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

// readGossipKeys reads the keys that encrypt gossip packets. Each line of the file has one key of 16, 24 or
// 32 bytes as base64; the first key encrypts, and all of them decrypt. Errors never contain a key.
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
			return nil, fmt.Errorf("%s: line %d: the key has %d bytes, want 16, 24 or 32", path, i+1, n)
		}
		if slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			return nil, fmt.Errorf("%s: line %d: the key is a duplicate of an earlier one", path, i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: the file has no key", path)
	}
	return keys, nil
}

// readTokenKeys reads the file with the keys for resume tokens.
func readTokenKeys(path string) (*token.KeyRing, error) {
	text, err := readSecretFile(path)
	if err != nil {
		return nil, err
	}
	return token.ParseKeyFile(text)
}

// readSecretFile reads a file with secrets. It checks the mode of the open file rather than of its path,
// which could name another file by then.
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
