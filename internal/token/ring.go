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
	// MaxTokenLen is the maximum length of a token's text in bytes. A client's first line, with all its
	// fields, is limited to 4 KiB.
	MaxTokenLen = 400

	// maxNameLen is the maximum length in bytes of the names of the server and the relay in a token. They
	// only help operators; nothing depends on them.
	maxNameLen = 40

	// maxKeyIDLen is the maximum length of a key's id in bytes.
	maxKeyIDLen = 16

	tokenPrefix = "cs1."
	keyIDChars  = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)

// Key is a key of a KeyRing.
type Key struct {
	ID     string // 1 to 16 letters, digits, - and _
	Secret []byte // 32 bytes
}

// KeyRing is a set of keys. The first key seals tokens; every key can open them. A KeyRing is immutable: a
// reload of the key file creates a new one.
type KeyRing struct {
	sealingID string
	ciphers   map[string]cipher.AEAD // by key id
	random    io.Reader              // source of nonces
}

// NewKeyRing checks keys and returns a ring of them. Errors name the key and never contain a secret.
func NewKeyRing(keys []Key) (*KeyRing, error) {
	if len(keys) == 0 {
		return nil, errors.New("key: at least one key is required")
	}
	r := &KeyRing{
		sealingID: keys[0].ID,
		ciphers:   make(map[string]cipher.AEAD, len(keys)),
		random:    rand.Reader,
	}
	for i, k := range keys {
		if k.ID == "" || len(k.ID) > maxKeyIDLen || strings.Trim(k.ID, keyIDChars) != "" {
			return nil, fmt.Errorf("key %d: id: %q must be 1 to %d letters, digits, - or _", i+1, k.ID,
				maxKeyIDLen)
		}
		if r.ciphers[k.ID] != nil {
			return nil, fmt.Errorf("key %d: id: %q is used twice", i+1, k.ID)
		}
		c, err := chacha20poly1305.NewX(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("key %d (%s): secret: %d bytes, must be %d", i+1, k.ID, len(k.Secret),
				chacha20poly1305.KeySize)
		}
		r.ciphers[k.ID] = c
	}
	return r, nil
}

// SealingKeyID returns the id of the key that seals new tokens.
func (r *KeyRing) SealingKeyID() string { return r.sealingID }

// strictDecMode decodes only what a relay of this version writes. It rejects unknown and repeated fields, as
// such a token is from another version.
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
		panic(err) // the options are constants, so any run of the tests would show an error here
	}
	return m
}()

// Seal returns the sealed text of a token. It returns ErrNamesTooLong if the names of the class and the
// tenant do not fit into a token; the names of the server and the relay are truncated instead.
func (r *KeyRing) Seal(t *Token) (string, error) {
	truncated := *t
	truncated.Server, truncated.Relay = truncateName(t.Server), truncateName(t.Relay)
	body, err := cbor.Marshal(&truncated)
	if err != nil {
		return "", fmt.Errorf("encode token: %w", err)
	}
	head := tokenPrefix + r.sealingID + "."
	c := r.ciphers[r.sealingID]
	sealedLen := c.NonceSize() + len(body) + c.Overhead()
	if len(head)+base64.RawURLEncoding.EncodedLen(sealedLen) > MaxTokenLen {
		return "", ErrNamesTooLong
	}
	nonce := make([]byte, c.NonceSize(), sealedLen)
	if _, err := io.ReadFull(r.random, nonce); err != nil {
		return "", fmt.Errorf("generate nonce for token: %w", err)
	}
	sealed := c.Seal(nonce, nonce, body, []byte(head))
	return head + base64.RawURLEncoding.EncodeToString(sealed), nil
}

func truncateName(name string) string { return name[:min(len(name), maxNameLen)] }

// Open decrypts and decodes a token's text. It returns ErrMalformed, ErrUnknownKey or ErrForged for a text
// that was not sealed with a key of this ring, and decodes no text of more than MaxTokenLen bytes.
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
	// Strict rejects non-zero padding bits in the last digit; otherwise one token would have several texts.
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
