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

// The lines of the extension (docs/RESUME.md). All of this file is for calls that have a stream; the others
// meet a nil once and nothing more.

// streamOf is the call's stream, nil if its client did not ask for one.
func streamOf(c *relay.Request) *resume.Stream {
	st, _ := c.Ownership.(*resume.Stream)
	return st
}

// openStream is what an opening asks for.
func (f *Frontend) openStream(o *opening) (*resume.Stream, error) {
	asked := resume.StreamRequest{Class: o.class, Tenant: o.tenant, Key: o.key, Group: o.group, Position: o.position,
		HasPosition: o.hasPosition}
	if o.resumeToken == "new" {
		return f.Resume.NewStream(asked), nil
	}
	st, err := f.Resume.ResumeStream(o.resumeToken, asked)
	var rejected *resume.RejectError
	if errors.As(err, &rejected) {
		return nil, &resumeError{rejected.Note, rejected.Err}
	}
	return st, err
}

// resumeRejections is what a server's refusal to go on means to the client.
var resumeRejections = map[string]string{"STALE": resume.NoteStaleToken, "AHEAD": resume.NotePositionAhead}

// encodeResumeFields is what a server that takes streams up is told beyond the client's line.
func encodeResumeFields(c *relay.Request, a relay.Attempt) (more string, told bool) {
	st := streamOf(c)
	if st == nil {
		return "", false
	}
	told = a.Server.SupportsResume || st.AllServersResume()
	lease := st.BeginAttempt(told)
	if !told {
		return "", false
	}
	more = fmt.Sprintf(",s=%s,gen=%d,from=%d", st.ID, st.FencingToken(), st.FirstScan)
	if lease > 0 {
		more += fmt.Sprintf(",lease=%d", lease.Milliseconds())
	}
	return more, true
}

// renewServerLease tells the server how long it may serve on, if that is due. It comes before a stream's first token: from
// then on another relay may be shown one.
func renewServerLease(e *splice.Half, st *resume.Stream) {
	if st == nil {
		return
	}
	if lease := st.ServerLease(); lease > 0 {
		e.Forward(fmt.Appendf(nil, "KEEP %d\r\n", lease.Milliseconds())) // if that fails, the reader meets the same break
	}
}

// encodeEstablished is the server's UP, with what the client is to know beyond it: a gap, and its token.
func encodeEstablished(e *splice.Half, st *resume.Stream, a relay.Attempt, up []byte) []byte {
	out := append([]byte(nil), up...)
	first, stated := uint64(0), false
	for _, field := range strings.Fields(string(up)) {
		if text, ok := strings.CutPrefix(field, "from="); ok {
			x, err := strconv.ParseUint(text, 10, 64)
			first, stated = x, err == nil && x > 0 && x <= maxPosition
		}
	}
	switch {
	case stated && st.FirstScan != 0 && first > st.FirstScan:
		out = fmt.Appendf(out, "GAP %d %d\r\n", st.FirstScan, first-1)
	case !stated && st.FirstScan != 0: // its server does not number scans, or does not go back
		out = fmt.Appendf(out, "GAP %d -\r\n", st.FirstScan)
	}
	if stated {
		st.SetPosition(first - 1)
	}
	st.SetServer(a.Server.ID)
	renewServerLease(e, st)
	return append(out, tokenLine(st)...)
}

// tokenLine is the line that gives a token; empty if there is none to give, or no stream.
func tokenLine(st *resume.Stream) []byte {
	if st == nil {
		return nil
	}
	text := st.IssueToken()
	if text == "" {
		return nil
	}
	return fmt.Appendf(nil, "TOKEN %d %s\r\n", st.FencingToken(), text)
}

// recordForwardedLine notes a line that went to the client. It returns the stream if a token is due after it.
func recordForwardedLine(st *resume.Stream, line []byte) *resume.Stream {
	if rest, ok := bytes.CutPrefix(line, []byte("SCAN ")); ok {
		n, digits := uint64(0), 0
		for ; digits < len(rest) && digits < 19 && rest[digits] >= '0' && rest[digits] <= '9'; digits++ {
			n = n*10 + uint64(rest[digits]-'0')
		}
		if digits > 0 && n <= maxPosition {
			st.SetPosition(n)
		}
	}
	if !st.TokenDue() {
		return nil
	}
	return st
}

// nextStreamCheck is when the goroutine that passes lines looks at its stream at the latest; 0 is never.
func nextStreamCheck(st *resume.Stream) time.Duration {
	if st == nil {
		return 0
	}
	return st.NextCheck()
}

// confirmToken takes the client's word that it has a token. It is the relay's line: no server reads it.
func confirmToken(st *resume.Stream, line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("GOT "))
	if !ok {
		return false
	}
	if n, err := strconv.ParseUint(string(bytes.TrimRight(rest, "\r\n")), 10, 64); err == nil {
		st.ConfirmToken(n)
	}
	return true
}

// releaseStream ends a stream at its server, and only then lets it be another relay's.
func releaseStream(e *splice.Half, st *resume.Stream) {
	if st != nil {
		e.Close(relay.GracefulClose)
		e.Conn.Close()
		st.ReleaseAndWait()
	}
}
