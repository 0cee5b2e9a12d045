package plugin

import (
	"bytes"
	"encoding/binary"
)

// clientPreface is the first thing that an HTTP/2 client writes. With TLS it is encrypted.
var clientPreface = []byte("PRI * HTTP/2.0\r\n")

// goAwayFrame is the frame with which an HTTP/2 server closes a connection gracefully: the client opens no
// new streams, and existing streams continue.
var goAwayFrame = []byte{0, 0, 8, 7, 0, 0, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0}

const (
	frameHeaderBytes = 9
	frameLengthBytes = 3 // size of the length field, which begins a header
)

// frameTracker tracks the boundaries of the HTTP/2 frames that a server sends, so that a frame can be
// inserted between two of them. It accepts reads of any length: a read may already be pending when the
// client's first write shows whether the connection carries plain HTTP/2, or when the connection starts to
// drain, so no earlier limit can be relied on.
type frameTracker struct {
	prefaceSeen  bool   // the client has written its first bytes
	plaintext    bool   // HTTP/2 without TLS, whose frames can be parsed
	settingsDone bool   // the first frame, which must be the server's SETTINGS, has been read
	header       []byte // the part of the current frame's header that has been read
	bodyLeft     int    // bytes of the current frame's body that have not been read
}

// recordWrite checks whether the client's first bytes are the HTTP/2 preface. It reports whether the
// connection has just turned out to be plain HTTP/2.
func (t *frameTracker) recordWrite(p []byte) (recognized bool) {
	if t.prefaceSeen || len(p) == 0 {
		return false
	}
	t.prefaceSeen = true
	t.plaintext = bytes.HasPrefix(p, clientPreface[:min(len(p), len(clientPreface))])
	return t.plaintext
}

// betweenFrames reports whether a frame may be inserted now.
func (t *frameTracker) betweenFrames() bool {
	return t.plaintext && t.settingsDone && t.bodyLeft == 0 && len(t.header) == 0
}

// limitRead limits a read to n bytes and to the end of the current frame's header or body, so that it does
// not pass the next point at which a frame may be inserted.
func (t *frameTracker) limitRead(n int) int {
	switch {
	case !t.plaintext:
		return n
	case t.bodyLeft > 0:
		return min(n, t.bodyLeft)
	default:
		return min(n, frameHeaderBytes-len(t.header))
	}
}

// recordRead updates the position in the current frame after a read. Bytes that come before the client's
// first write are recorded too, as they may be the server's first frames. Those of TLS are not frames, and
// nothing depends on where they seem to end.
func (t *frameTracker) recordRead(p []byte) {
	if t.prefaceSeen && !t.plaintext {
		return
	}
	for len(p) > 0 {
		p = p[t.advance(p):]
	}
}

// advance moves the position past the part of p that belongs to the current header or body, and returns the
// length of that part. p must not be empty.
func (t *frameTracker) advance(p []byte) (n int) {
	if t.bodyLeft > 0 {
		n = min(len(p), t.bodyLeft)
		t.bodyLeft -= n
	} else {
		n = min(len(p), frameHeaderBytes-len(t.header))
		t.header = append(t.header, p[:n]...)
		if len(t.header) == frameHeaderBytes {
			t.bodyLeft = int(binary.BigEndian.Uint32(append([]byte{0}, t.header[:frameLengthBytes]...)))
			t.header = t.header[:0]
		}
	}
	if t.bodyLeft == 0 && len(t.header) == 0 {
		t.settingsDone = true
	}
	return n
}
