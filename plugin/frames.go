package plugin

import (
	"bytes"
	"encoding/binary"
)

// clientPreface is what an HTTP/2 client writes first. Behind TLS it cannot be seen.
var clientPreface = []byte("PRI * HTTP/2.0\r\n")

// goAwayFrame is the frame with which an HTTP/2 server ends a connection in order: no new streams, those
// there are go on.
var goAwayFrame = []byte{0, 0, 8, 7, 0, 0, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0}

const (
	frameHeaderBytes = 9
	frameLengthBytes = 3 // of a header, the first
)

// frameTracker follows the HTTP/2 frames that a server sends, so that something can be put between two of
// them.
type frameTracker struct {
	prefaceSeen  bool
	plaintext    bool   // HTTP/2 without TLS: frames can be told apart
	settingsDone bool   // the first frame, which must be the server's own settings, has come
	header       []byte // what has come of the current frame's header
	bodyLeft     int    // bytes of the current frame's body still to come
}

// noteWrite looks at what the client writes.
func (t *frameTracker) noteWrite(p []byte) {
	if t.prefaceSeen || len(p) == 0 {
		return
	}
	t.prefaceSeen = true
	t.plaintext = bytes.HasPrefix(p, clientPreface[:min(len(p), len(clientPreface))])
}

// betweenFrames tells whether a frame may be put in now.
func (t *frameTracker) betweenFrames() bool {
	return t.plaintext && t.settingsDone && t.bodyLeft == 0 && len(t.header) == 0
}

// limitRead bounds a read, so that it ends where a frame's header or body does.
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

// noteRead looks at what the server has sent, as limitRead allowed it.
func (t *frameTracker) noteRead(p []byte) {
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
