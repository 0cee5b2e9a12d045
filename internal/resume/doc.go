// Package resume lets a stream go on at another relay: a client shows a sealed token with its last position,
// and the relay that acquires the stream's ownership serves it.
//
// A Service owns one relay's part: the session with the ownership service, the ownership.Lease that it feeds,
// the key ring of the tokens, and the streams that this relay has or asks for. A Stream is one of them: the
// relay.Request's ownership, the fencing token and lease that its server gets, and when the client is given
// its next token.
//
// The fronts call it (wire/platform writes its lines), package lifecycle starts, reloads and closes it. It
// writes no wire of a front, decides nothing about ownership itself (package ownership does) and places no
// request.
//
// docs/design/resume.md has the reasons, docs/RESUME.md the platform's lines.
package resume
