package plugin

import (
	"encoding/binary"
)

// clientPreface is what an HTTP/2 client writes first. Behind TLS it cannot be seen.
var clientPreface = []byte("PRI * HTTP/2.0\r\n")

// goAwayFrame is the frame with which an HTTP/2 server ends a connection in order: no new streams, those there
// are go on.
var goAwayFrame = []byte{0, 0, 8, 7, 0, 0, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0}

// trackFrames keeps count of the server's frames.
func (c *placedConn) trackFrames(p []byte) {
	if !c.plaintext || len(p) == 0 {
		return
	}
	if c.frameBodyLeft > 0 {
		c.frameBodyLeft -= len(p)
	} else if c.frameHeader = append(c.frameHeader, p...); len(c.frameHeader) == 9 {
		c.frameBodyLeft = int(binary.BigEndian.Uint32(append([]byte{0}, c.frameHeader[:3]...)))
		c.frameHeader = c.frameHeader[:0]
	}
	c.settingsDue = c.settingsDue && (c.frameBodyLeft > 0 || len(c.frameHeader) > 0)
}
