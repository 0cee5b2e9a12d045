// Package xmpp speaks RFC 6120 with clients on one side and servers on the other. The two sides meet only
// in the Exchange, and in the stream that a call of theirs carries.
package xmpp
