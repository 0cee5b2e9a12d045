// Package token seals what a relay knows of a stream into a text that a client keeps and shows to any relay
// that has the same keys. It does no I/O and has no clock: times are Unix times in milliseconds.
//
// A token is "cs1.KEYID.BODY": BODY is base64url of a 24-byte nonce and the XChaCha20-Poly1305 sealing
// (draft-irtf-cfrg-xchacha) of a CBOR map (RFC 8949) with small integer keys. What stands before the body is
// authenticated with it. Nonces are random: 192 bits never repeat in a key's life.
package token

import (
	"crypto/rand"
	"errors"
	"fmt"
)

// Why a token is refused. Expired and Mismatch are for the caller to find with Check.
var (
	ErrMalformed  = errors.New("not of a token's form")
	ErrUnknownKey = errors.New("sealed by an unknown key")
	ErrForged     = errors.New("does not open")
	ErrExpired    = errors.New("expired")
	ErrMismatch   = errors.New("of another stream")
	ErrTooLong    = errors.New("names too long for a token")
)

// StreamID names a stream at all relays and servers. It is random and says nothing.
type StreamID [16]byte

// NewStreamID makes an id for a new stream.
func NewStreamID() (id StreamID) {
	rand.Read(id[:]) // never fails: crypto/rand ends the program instead
	return id
}

func (id StreamID) String() string { return fmt.Sprintf("%x", id[:]) }

// Token is what is sealed. Class and Tenant are names, as numbers differ between configurations.
type Token struct {
	Stream        StreamID `cbor:"1,keyasint"`
	FencingToken  uint64   `cbor:"2,keyasint"` // of the service in which it was given
	Class         string   `cbor:"3,keyasint"`
	Tenant        string   `cbor:"4,keyasint,omitempty"`
	Key           uint64   `cbor:"5,keyasint,omitempty"`
	Group         uint64   `cbor:"6,keyasint,omitempty"`
	Position      uint64   `cbor:"7,keyasint"` // the last scan passed on when it was given
	Server        string   `cbor:"8,keyasint,omitempty"`
	Relay         string   `cbor:"9,keyasint,omitempty"`
	IssuedUnixMs  int64    `cbor:"10,keyasint"` // Unix ms
	ExpiresUnixMs int64    `cbor:"11,keyasint"` // Unix ms
}

// Check says whether the token is for such a request now. skew is by how much clocks may differ, in ms.
func (t *Token) Check(class, tenant string, key, group uint64, now, skew int64) error {
	switch {
	case now > t.ExpiresUnixMs+skew || now < t.IssuedUnixMs-skew:
		return ErrExpired
	case t.Class != class || t.Tenant != tenant || t.Key != key || t.Group != group:
		return ErrMismatch
	}
	return nil
}
