// Package token seals the state of a stream into a text, the resume token. A client keeps the token and
// presents it to any relay that has the same keys. This package defines the formats of tokens and key files;
// package resume issues and checks tokens, and package lifecycle reads the key file. This package does no I/O
// and never reads a clock: times are arguments, and are stored as Unix times in milliseconds.
//
// A token is "cs1.KEYID.BODY". BODY is the base64url encoding of a 24-byte nonce and a CBOR map (RFC 8949)
// with small integer keys, which is sealed with XChaCha20-Poly1305 (draft-irtf-cfrg-xchacha). The part before
// BODY is authenticated as additional data. Nonces are random; with 192 bits they do not repeat while a key
// is in use.
package token

import (
	"crypto/rand"
	"errors"
	"fmt"
	"time"
)

// Errors returned by Open, Check and Seal.
var (
	ErrMalformed       = errors.New("resume token is malformed")
	ErrUnknownKey      = errors.New("resume token is sealed with a key that is not in the key file")
	ErrForged          = errors.New("resume token is not authentic")
	ErrExpired         = errors.New("resume token is expired or not valid yet")
	ErrRequestMismatch = errors.New("resume token belongs to another class, tenant, key or group")
	ErrNamesTooLong    = errors.New("names of class and tenant are too long for a resume token")
)

// StreamID identifies a stream at all relays and servers. It is random and carries no information.
type StreamID [16]byte

// NewStreamID returns a random id for a new stream.
func NewStreamID() (id StreamID) {
	rand.Read(id[:]) // never returns an error: crypto/rand ends the program instead
	return id
}

// String returns the id in hex, as used in node paths and sent to servers.
func (id StreamID) String() string { return fmt.Sprintf("%x", id[:]) }

// Token is the content of a resume token. It contains the names of the class and the tenant, as their numbers
// differ between configurations.
type Token struct {
	Stream        StreamID `cbor:"1,keyasint"`
	FencingToken  uint64   `cbor:"2,keyasint"` // of the ownership under which the token was issued
	Class         string   `cbor:"3,keyasint"`
	Tenant        string   `cbor:"4,keyasint,omitempty"`
	Key           uint64   `cbor:"5,keyasint,omitempty"`
	Group         uint64   `cbor:"6,keyasint,omitempty"`
	Position      uint64   `cbor:"7,keyasint"` // last scan forwarded when the token was issued
	Server        string   `cbor:"8,keyasint,omitempty"`
	Relay         string   `cbor:"9,keyasint,omitempty"`
	IssuedUnixMs  int64    `cbor:"10,keyasint"`
	ExpiresUnixMs int64    `cbor:"11,keyasint"`
}

// Binding contains the properties of the request that a token is bound to. The token is rejected with any
// other request.
type Binding struct {
	Class, Tenant string
	Key, Group    uint64
}

// Binding returns the properties that the token is bound to.
func (t *Token) Binding() Binding {
	return Binding{Class: t.Class, Tenant: t.Tenant, Key: t.Key, Group: t.Group}
}

// Check returns nil if the token is valid for the request at the time now, and otherwise ErrExpired or
// ErrRequestMismatch. The wall clocks of relays may differ by skew.
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
