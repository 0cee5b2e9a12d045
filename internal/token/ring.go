package token

import (
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/crypto/chacha20poly1305"
)

// MaxTokenLen is the longest token as text. First lines have 4 KiB for all their fields.
const MaxTokenLen = 400

// maxNameLen bounds the names of servers and relays in a token. They only help an operator's eye.
const maxNameLen = 40

const tokenPrefix = "cs1."

// Key is one key of a ring.
type Key struct {
	ID     string
	Secret []byte // 32 bytes
}

// KeyRing is a set of keys. The first seals; all open. It is immutable: a new file makes a new KeyRing.
type KeyRing struct {
	sealingID string
	ciphers   map[string]cipher.AEAD
	random    io.Reader
}

// NewKeyRing checks keys and makes a ring of them.
func NewKeyRing(keys []Key) (*KeyRing, error) {
	if len(keys) == 0 {
		return nil, errors.New("key: at least one is wanted")
	}
	r := &KeyRing{sealingID: keys[0].ID, ciphers: make(map[string]cipher.AEAD, len(keys)), random: rand.Reader}
	for i, k := range keys {
		if k.ID == "" || len(k.ID) > 16 || strings.Trim(k.ID, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") != "" {
			return nil, fmt.Errorf("key %d: id: %q is not 1 to 16 of letters, digits, - and _", i+1, k.ID)
		}
		if r.ciphers[k.ID] != nil {
			return nil, fmt.Errorf("key %d: id: %q stands twice", i+1, k.ID)
		}
		c, err := chacha20poly1305.NewX(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("key %d (%s): secret: %d bytes, 32 are wanted", i+1, k.ID, len(k.Secret))
		}
		r.ciphers[k.ID] = c
	}
	return r, nil
}

// SealingKeyID is the id of the key that seals.
func (r *KeyRing) SealingKeyID() string { return r.sealingID }

// strictDecoding refuses what no relay writes: an unknown or repeated field is a token of another version.
var strictDecoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // constants only: cannot fail at run time what passes its tests
	}
	return m
}()

// Seal makes the text. ErrTooLong if the class and tenant have names that no token can hold.
func (r *KeyRing) Seal(t *Token) (string, error) {
	short := *t
	short.Server, short.Relay = truncateName(t.Server), truncateName(t.Relay)
	body, err := cbor.Marshal(&short)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	head := tokenPrefix + r.sealingID + "."
	c := r.ciphers[r.sealingID]
	if len(head)+base64.RawURLEncoding.EncodedLen(c.NonceSize()+len(body)+c.Overhead()) > MaxTokenLen {
		return "", ErrTooLong
	}
	buf := make([]byte, c.NonceSize(), c.NonceSize()+len(body)+c.Overhead())
	if _, err := io.ReadFull(r.random, buf); err != nil {
		return "", fmt.Errorf("token: nonce: %w", err)
	}
	return head + base64.RawURLEncoding.EncodeToString(c.Seal(buf, buf, body, []byte(head))), nil
}

func truncateName(name string) string { return name[:min(len(name), maxNameLen)] }

// Open takes a text apart. It never looks at more than MaxLen bytes.
func (r *KeyRing) Open(text string) (*Token, error) {
	if len(text) > MaxTokenLen || !strings.HasPrefix(text, tokenPrefix) {
		return nil, ErrMalformed
	}
	id, encoded, ok := strings.Cut(text[len(tokenPrefix):], ".")
	if !ok {
		return nil, ErrMalformed
	}
	c := r.ciphers[id]
	if c == nil {
		return nil, ErrUnknownKey
	}
	// Strict: else the spare bits of the last digit make several texts of one token.
	buf, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || strings.ContainsAny(encoded, "\r\n") || len(buf) < c.NonceSize()+c.Overhead() {
		return nil, ErrMalformed
	}
	body, err := c.Open(nil, buf[:c.NonceSize()], buf[c.NonceSize():], []byte(text[:len(tokenPrefix)+len(id)+1]))
	if err != nil {
		return nil, ErrForged
	}
	t := &Token{}
	if err := strictDecoding.Unmarshal(body, t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return t, nil
}
