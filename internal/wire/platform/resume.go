package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"capersail/internal/relay"
	"capersail/internal/resume"
	"capersail/internal/wire/splice"
)

// This file implements the protocol extension for resumable streams (docs/RESUME.md). It concerns only
// requests that have a stream; for all others streamOf returns nil.

// streamOf returns the request's stream, or nil if its client did not ask for a resumable stream.
func streamOf(request *relay.Request) *resume.Stream {
	stream, _ := request.Ownership.(*resume.Stream)
	return stream
}

// openStream returns the stream that a first line asks for, new or resumed. A rejected token gives a
// resumeError.
func (f *Frontend) openStream(o *opening) (*resume.Stream, error) {
	request := resume.StreamRequest{
		Class:       o.class,
		Tenant:      o.tenant,
		Key:         o.key,
		Group:       o.group,
		Position:    o.position,
		HasPosition: o.hasPosition,
	}
	if o.resumeToken == newStreamToken {
		return f.Resume.NewStream(request), nil
	}
	stream, err := f.Resume.ResumeStream(o.resumeToken, request)
	var rejected *resume.RejectError
	if errors.As(err, &rejected) {
		return nil, &resumeError{note: rejected.Note, err: rejected.Err}
	}
	return stream, err
}

// resumeRejections maps the answers of a server that cannot resume a stream to the notes that the client
// receives.
var resumeRejections = map[string]string{
	wordStaleToken:    resume.NoteStaleToken,
	wordPositionAhead: resume.NotePositionAhead,
}

// encodeResumeFields returns the fields that are appended to the first line for a server that supports
// resume, and whether the attempt's server does.
func encodeResumeFields(request *relay.Request, a relay.Attempt) (fields string, resumable bool) {
	stream := streamOf(request)
	if stream == nil {
		return "", false
	}
	resumable = a.Server.SupportsResume || stream.AllServersResume()
	lease := stream.BeginAttempt(resumable)
	if !resumable {
		return "", false
	}
	fields = fmt.Sprintf(",s=%s,gen=%d,from=%d", stream.ID, stream.FencingToken(), stream.FirstScan)
	if lease > 0 {
		fields += fmt.Sprintf(",lease=%d", lease.Milliseconds())
	}
	return fields, true
}

// renewServerLease sends the server the duration for which it may continue to serve the stream, if a renewal
// is due. It must be sent before the stream's first token: once the client has a token, another relay may
// acquire the stream.
func renewServerLease(server *splice.Conn, stream *resume.Stream) {
	if stream == nil {
		return
	}
	if lease := stream.ServerLease(); lease > 0 {
		// An error is not handled here: the goroutine that reads the server gets it too.
		server.Forward(encodeLine(wordServerLease, strconv.FormatInt(lease.Milliseconds(), 10)))
	}
}

// encodeEstablished returns the server's answer, followed by a GAP line if scans are missing and a TOKEN line
// if a token is due.
func encodeEstablished(server *splice.Conn, stream *resume.Stream, serverName string, answer []byte) []byte {
	out := append([]byte(nil), answer...)
	first, stated := parseFirstScan(answer)
	switch {
	case stated && stream.FirstScan != 0 && first > stream.FirstScan:
		out = fmt.Appendf(out, "%s %d %d\r\n", wordGap, stream.FirstScan, first-1)
	case !stated && stream.FirstScan != 0: // the server does not number scans or cannot send old ones
		out = fmt.Appendf(out, "%s %d -\r\n", wordGap, stream.FirstScan)
	}
	if stated {
		stream.SetPosition(first - 1)
	}
	stream.SetServer(serverName)
	renewServerLease(server, stream)
	return append(out, encodeToken(stream)...)
}

// parseFirstScan returns the number of the first scan that a server will send, if its answer states one.
func parseFirstScan(answer []byte) (first uint64, stated bool) {
	for _, field := range strings.Fields(string(answer)) {
		if text, ok := strings.CutPrefix(field, "from="); ok {
			x, err := strconv.ParseUint(text, 10, 64)
			first, stated = x, err == nil && x > 0 && x <= maxPosition
		}
	}
	return first, stated
}

// encodeToken returns a TOKEN line with a new token. It returns nil without a stream or without a token.
func encodeToken(stream *resume.Stream) []byte {
	if stream == nil {
		return nil
	}
	text := stream.IssueToken()
	if text == "" {
		return nil
	}
	return encodeLine(wordToken, strconv.FormatUint(stream.FencingToken(), 10), text)
}

// maxPositionDigits is how many digits of a scan number are read, so that the number fits into a uint64.
const maxPositionDigits = 19

var scanPrefix = []byte(wordScan + " ")

// recordPosition sets the stream's position if the line, which was forwarded to the client, is a scan.
func recordPosition(stream *resume.Stream, line []byte) {
	rest, ok := bytes.CutPrefix(line, scanPrefix)
	if !ok {
		return
	}
	rest = rest[:min(len(rest), maxPositionDigits)]
	position, digits := uint64(0), 0
	for ; digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9'; digits++ {
		position = position*10 + uint64(rest[digits]-'0')
	}
	if digits > 0 && position <= maxPosition {
		stream.SetPosition(position)
	}
}

// nextStreamCheck returns the latest time at which the goroutine that forwards lines must check the stream; 0
// means never.
func nextStreamCheck(stream *resume.Stream) time.Duration {
	if stream == nil {
		return 0
	}
	return stream.NextCheck()
}

var confirmPrefix = []byte(wordConfirmToken + " ")

// confirmToken handles a GOT line, with which the client confirms a token. It returns whether the line is
// one; GOT lines are not forwarded to the server.
func confirmToken(stream *resume.Stream, line []byte) bool {
	rest, ok := bytes.CutPrefix(line, confirmPrefix)
	if !ok {
		return false
	}
	if n, err := strconv.ParseUint(string(bytes.TrimRight(rest, "\r\n")), 10, 64); err == nil {
		stream.ConfirmToken(n)
	}
	return true
}

// releaseStream closes the connection to the stream's server and then releases the stream's ownership, so
// that another relay can acquire the stream only after the server has been disconnected.
func releaseStream(server *splice.Conn, stream *resume.Stream) {
	if stream != nil {
		server.Close(relay.GracefulClose)
		server.NetConn.Close()
		stream.ReleaseAndWait()
	}
}
