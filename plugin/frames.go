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
// inserted between two of them.
type frameTracker struct {
	prefaceSeen  bool   // the client has written its first bytes
	plaintext    bool   // HTTP/2 without TLS, whose frames can be parsed
	settingsDone bool   // the first frame, which must be the server's SETTINGS, has been read
	header       []byte // the part of the current frame's header that has been read
	bodyLeft     int    // bytes of the current frame's body that have not been read
}

// recordWrite checks whether the client's first bytes are the HTTP/2 preface.
func (t *frameTracker) recordWrite(p []byte) {
	if t.prefaceSeen || len(p) == 0 {
		return
	}
	t.prefaceSeen = true
	t.plaintext = bytes.HasPrefix(p, clientPreface[:min(len(p), len(clientPreface))])
}

// betweenFrames reports whether a frame may be inserted now.
func (t *frameTracker) betweenFrames() bool {
	return t.plaintext && t.settingsDone && t.bodyLeft == 0 && len(t.header) == 0
}

// limitRead limits a read to n bytes and to the end of the current frame's header or body.
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

// recordRead updates the position in the current frame after a read that limitRead limited.
func (t *frameTracker) recordRead(p []byte) {
	if !t.plaintext || len(p) == 0 {
		return
	}
	if t.bodyLeft > 0 {
		t.bodyLeft -= len(p)
	} else if t.header = append(t.header, p...); len(t.header) == frameHeaderBytes {
		t.bodyLeft = int(binary.BigEndian.Uint32(append([]byte{0}, t.header[:frameLengthBytes]...)))
		t.header = t.header[:0]
	}
	if t.bodyLeft == 0 && len(t.header) == 0 {
		t.settingsDone = true
	}
}
