// Package resume lets a client resume a stream at another relay: the client presents a sealed resume token
// with its last position, and the relay that acquires ownership of the stream serves it.
//
// A Service holds one relay's state: the session with the ownership service, the ownership.Lease that it
// drives, the key ring for tokens, and the streams that this relay owns or is acquiring. A Stream is one of
// these. It holds the ownership of its relay.Request, the fencing token and lease for its server, and the
// time of the client's next token.
//
// The client protocols call this package (wire/platform writes its lines); package lifecycle starts, reloads
// and closes it. This package writes no protocol lines, leaves decisions about ownership to package
// ownership, and places no requests.
//
// docs/design/resume.md explains the design, docs/RESUME.md the lines of the platform protocol.
package resume
