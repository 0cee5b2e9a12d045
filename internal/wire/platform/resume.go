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

// The lines of the extension (docs/RESUME.md). All of this file is for requests that have a stream; for the
// others streamOf returns nil.

// streamOf returns the request's stream, nil if its client did not ask for one.
func streamOf(request *relay.Request) *resume.Stream {
	stream, _ := request.Ownership.(*resume.Stream)
	return stream
}

// openStream returns the stream that an opening asks for. A token that is rejected is a resumeError.
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

// resumeRejections is what a server's answer that it cannot resume means to the client.
var resumeRejections = map[string]string{
	wordStaleToken: resume.NoteStaleToken,
	wordAhead:      resume.NotePositionAhead,
}

// encodeResumeFields makes what a server that resumes streams is sent beyond the client's line. It returns
// whether this server is such a one.
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

// renewServerLease tells the server how long it may serve on, if that is due. It comes before a stream's
// first token: from then on another relay may be shown one.
func renewServerLease(server *splice.Conn, stream *resume.Stream) {
	if stream == nil {
		return
	}
	if lease := stream.ServerLease(); lease > 0 {
		// If that fails, the goroutine that reads the server meets the same break.
		server.Forward(encodeLine(wordServerLease, strconv.FormatInt(lease.Milliseconds(), 10)))
	}
}

// encodeEstablished makes the server's answer with what the client is to know beyond it: a gap, and its
// token.
func encodeEstablished(server *splice.Conn, stream *resume.Stream, serverName string, answer []byte) []byte {
	out := append([]byte(nil), answer...)
	first, stated := parseFirstScan(answer)
	switch {
	case stated && stream.FirstScan != 0 && first > stream.FirstScan:
		out = fmt.Appendf(out, "%s %d %d\r\n", wordGap, stream.FirstScan, first-1)
	case !stated && stream.FirstScan != 0: // its server does not number scans, or does not go back
		out = fmt.Appendf(out, "%s %d -\r\n", wordGap, stream.FirstScan)
	}
	if stated {
		stream.SetPosition(first - 1)
	}
	stream.SetServer(serverName)
	renewServerLease(server, stream)
	return append(out, encodeToken(stream)...)
}

// parseFirstScan returns the scan with which a server says that it begins.
func parseFirstScan(answer []byte) (first uint64, stated bool) {
	for _, field := range strings.Fields(string(answer)) {
		if text, ok := strings.CutPrefix(field, "from="); ok {
			x, err := strconv.ParseUint(text, 10, 64)
			first, stated = x, err == nil && x > 0 && x <= maxPosition
		}
	}
	return first, stated
}

// encodeToken makes the line that gives a token; empty if there is none to give, or no stream.
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

// maxPositionDigits bounds what is read of a scan's number, which fits a uint64.
const maxPositionDigits = 19

var scanPrefix = []byte(wordScan + " ")

// recordPosition notes the scan that went to the client, if a line is one.
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

// nextStreamCheck is the instant at which the goroutine that forwards lines checks its stream at the latest;
// 0 is never.
func nextStreamCheck(stream *resume.Stream) time.Duration {
	if stream == nil {
		return 0
	}
	return stream.NextCheck()
}

var confirmPrefix = []byte(wordConfirmToken + " ")

// confirmToken takes the client's line that says it has a token, and returns whether the line is one: no
// server reads it.
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

// releaseStream ends a stream at its server, and only then lets another relay acquire it.
func releaseStream(server *splice.Conn, stream *resume.Stream) {
	if stream != nil {
		server.Close(relay.GracefulClose)
		server.NetConn.Close()
		stream.ReleaseAndWait()
	}
}
