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

const (
	// MaxTokenLen bounds a token as text. A client's first line has 4 KiB for all its fields.
	MaxTokenLen = 400

	// maxNameLen bounds the names of servers and relays in a token, which only help an operator's eye.
	maxNameLen = 40

	// maxKeyIDLen bounds a key's id.
	maxKeyIDLen = 16

	tokenPrefix = "cs1."
	keyIDChars  = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)

// Key is one key of a ring.
type Key struct {
	ID     string // 1 to 16 letters, digits, - and _
	Secret []byte // 32 bytes
}

// KeyRing is a set of keys. The first seals; all open. It is immutable: a new key file makes a new KeyRing.
type KeyRing struct {
	sealingID string
	ciphers   map[string]cipher.AEAD // by key id
	random    io.Reader              // of nonces
}

// NewKeyRing checks keys and makes a ring of them. Errors name the key and never show a secret.
func NewKeyRing(keys []Key) (*KeyRing, error) {
	if len(keys) == 0 {
		return nil, errors.New("key: at least one is wanted")
	}
	r := &KeyRing{
		sealingID: keys[0].ID,
		ciphers:   make(map[string]cipher.AEAD, len(keys)),
		random:    rand.Reader,
	}
	for i, k := range keys {
		if k.ID == "" || len(k.ID) > maxKeyIDLen || strings.Trim(k.ID, keyIDChars) != "" {
			return nil, fmt.Errorf("key %d: id: %q is not 1 to %d of letters, digits, - and _", i+1, k.ID,
				maxKeyIDLen)
		}
		if r.ciphers[k.ID] != nil {
			return nil, fmt.Errorf("key %d: id: %q stands twice", i+1, k.ID)
		}
		c, err := chacha20poly1305.NewX(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("key %d (%s): secret: %d bytes, %d are wanted", i+1, k.ID, len(k.Secret),
				chacha20poly1305.KeySize)
		}
		r.ciphers[k.ID] = c
	}
	return r, nil
}

// SealingKeyID is the id of the key that seals.
func (r *KeyRing) SealingKeyID() string { return r.sealingID }

// strictDecMode rejects what no relay writes: an unknown or repeated field is a token of another version.
var strictDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   4,
		MaxArrayElements:  16,
		MaxMapPairs:       16,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // constants only: cannot fail at run time what passes its tests
	}
	return m
}()

// Seal makes the token's text. It returns ErrNamesTooLong if the class and the tenant have names that no
// token can hold; names of machines are cut.
func (r *KeyRing) Seal(t *Token) (string, error) {
	short := *t
	short.Server, short.Relay = truncateName(t.Server), truncateName(t.Relay)
	body, err := cbor.Marshal(&short)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	head := tokenPrefix + r.sealingID + "."
	c := r.ciphers[r.sealingID]
	sealedLen := c.NonceSize() + len(body) + c.Overhead()
	if len(head)+base64.RawURLEncoding.EncodedLen(sealedLen) > MaxTokenLen {
		return "", ErrNamesTooLong
	}
	nonce := make([]byte, c.NonceSize(), sealedLen)
	if _, err := io.ReadFull(r.random, nonce); err != nil {
		return "", fmt.Errorf("token: nonce: %w", err)
	}
	sealed := c.Seal(nonce, nonce, body, []byte(head))
	return head + base64.RawURLEncoding.EncodeToString(sealed), nil
}

func truncateName(name string) string { return name[:min(len(name), maxNameLen)] }

// Open takes a token's text apart. It returns ErrMalformed, ErrUnknownKey or ErrForged for what is none of
// this ring's, and never looks at more than MaxTokenLen bytes.
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
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || strings.ContainsAny(encoded, "\r\n") || len(sealed) < c.NonceSize()+c.Overhead() {
		return nil, ErrMalformed
	}
	head := text[:len(text)-len(encoded)]
	body, err := c.Open(nil, sealed[:c.NonceSize()], sealed[c.NonceSize():], []byte(head))
	if err != nil {
		return nil, ErrForged
	}
	t := &Token{}
	if err := strictDecMode.Unmarshal(body, t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return t, nil
}
