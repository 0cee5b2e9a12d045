// Package token seals what a relay knows of a stream into a text that a client keeps and shows to any relay
// that has the same keys. It owns the form of tokens and of key files; package resume issues and checks
// tokens, package lifecycle reads the key file. It does no I/O and never reads a clock: instants are
// arguments, and stored as Unix times in milliseconds.
//
// A token is "cs1.KEYID.BODY": BODY is base64url of a 24-byte nonce and the XChaCha20-Poly1305 sealing
// (draft-irtf-cfrg-xchacha) of a CBOR map (RFC 8949) with small integer keys. What stands before the body is
// authenticated with it. Nonces are random: 192 bits never repeat in a key's life.
package token

import (
	"crypto/rand"
	"errors"
	"fmt"
	"time"
)

// Why a token is rejected by Open or Check, or cannot be made by Seal.
var (
	ErrMalformed       = errors.New("malformed token")
	ErrUnknownKey      = errors.New("token sealed by an unknown key")
	ErrForged          = errors.New("token not authentic")
	ErrExpired         = errors.New("token expired")
	ErrRequestMismatch = errors.New("token of another stream")
	ErrNamesTooLong    = errors.New("names too long for a token")
)

// StreamID names a stream at all relays and servers. It is random and says nothing.
type StreamID [16]byte

// NewStreamID makes an id for a new stream.
func NewStreamID() (id StreamID) {
	rand.Read(id[:]) // never fails: crypto/rand ends the program instead
	return id
}

// String writes the id in hex, as node paths and servers have it.
func (id StreamID) String() string { return fmt.Sprintf("%x", id[:]) }

// Token is what is sealed. Class and Tenant are names, as numbers differ between configurations.
type Token struct {
	Stream        StreamID `cbor:"1,keyasint"`
	FencingToken  uint64   `cbor:"2,keyasint"` // of the ownership under which it was issued
	Class         string   `cbor:"3,keyasint"`
	Tenant        string   `cbor:"4,keyasint,omitempty"`
	Key           uint64   `cbor:"5,keyasint,omitempty"`
	Group         uint64   `cbor:"6,keyasint,omitempty"`
	Position      uint64   `cbor:"7,keyasint"` // the last scan forwarded when it was issued
	Server        string   `cbor:"8,keyasint,omitempty"`
	Relay         string   `cbor:"9,keyasint,omitempty"`
	IssuedUnixMs  int64    `cbor:"10,keyasint"`
	ExpiresUnixMs int64    `cbor:"11,keyasint"`
}

// Binding is the request that a token is for: with any other it is worth nothing.
type Binding struct {
	Class, Tenant string
	Key, Group    uint64
}

// Binding is what the token is bound to.
func (t *Token) Binding() Binding {
	return Binding{Class: t.Class, Tenant: t.Tenant, Key: t.Key, Group: t.Group}
}

// Check tells whether the token is for such a request now; it returns ErrExpired or ErrRequestMismatch if
// not. Wall clocks may differ by skew.
func (t *Token) Check(request Binding, now time.Time, skew time.Duration) error {
	nowMs, skewMs := now.UnixMilli(), skew.Milliseconds()
	switch {
	case nowMs > t.ExpiresUnixMs+skewMs || nowMs < t.IssuedUnixMs-skewMs:
		return ErrExpired
	case t.Binding() != request:
		return ErrRequestMismatch
	}
	return nil
}
