package platform

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"capersail/internal/relay"
	"capersail/internal/resume"
)

// opening is a client's first line, taken apart. Its text goes on to the server unchanged but for d.
type opening struct {
	id                    string
	beforeWait, afterWait string // the line around the figure of d
	class, tenant         string
	key, group            uint64
	loadHint              float64
	clientWait            time.Duration // the client's wait, in whole microseconds
	returned              bool
	previousServer        string // the server that held the connection before the run
	resumeToken           string // a token, or "new"; "" if the client does not ask to go on one day
	position              uint64
	hasPosition           bool
}

// parseResumableOpening reads a first line where tokens are on. Their two fields are the relay's own, and do not go on.
func parseResumableOpening(line []byte) (*opening, error) {
	text := strings.TrimRight(string(line), "\r\n")
	at := strings.LastIndexByte(text, ' ') + 1
	var rest []string
	var token, position string
	for _, field := range strings.Split(text[at:], ",") {
		switch name, value, _ := strings.Cut(field, "="); {
		case name == "resume" && token == "" && value != "":
			token = value
		case name == "pos" && position == "" && value != "":
			position = value
		default:
			rest = append(rest, field)
		}
	}
	o, err := parseOpening([]byte(text[:at] + strings.Join(rest, ",")))
	if err != nil || token == "" {
		return o, err
	}
	if o.resumeToken = token; o.previousServer != "" {
		return nil, fmt.Errorf("resume and at exclude one another")
	}
	if position != "" {
		if o.position, err = strconv.ParseUint(position, 10, 64); err != nil || o.position > maxPosition {
			return nil, &resumeError{resume.NoteInvalidPosition, fmt.Errorf("pos=%q is not the number of a scan", position)}
		}
		o.hasPosition = true
	}
	return o, nil
}

// maxPosition is the last scan that can be asked for: servers count in 63 bits.
const maxPosition = 1<<63 - 2

// resumeError is an error of which the client is told the kind.
type resumeError struct {
	note string
	err  error
}

func (r *resumeError) Error() string { return r.note + ": " + r.err.Error() }
func (r *resumeError) Unwrap() error { return r.err }

// parseOpening reads `OPEN id key name=value,...`. Whatever is not of that form is never sent on: a server
// would answer SYNTAX.
func parseOpening(line []byte) (*opening, error) {
	text := strings.TrimRight(string(line), "\r\n")
	parts := strings.Split(text, " ")
	if len(parts) != 4 || parts[0] != "OPEN" || parts[1] == "" || parts[2] == "" {
		return nil, fmt.Errorf("not of the form OPEN id key fields")
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return nil, fmt.Errorf("control character")
		}
	}
	o := &opening{id: parts[1], key: parseKey(parts[2])}
	at := len(text) - len(parts[3])
	for _, field := range strings.Split(parts[3], ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" || value == "" {
			return nil, fmt.Errorf("field %q is not name=value", field)
		}
		var err error
		switch name {
		case "c":
			o.class = value
		case "t":
			o.tenant = value
		case "d":
			o.beforeWait, o.afterWait = text[:at+2], text[at+len(field):]
			left, err := strconv.ParseFloat(value, 64)
			if err != nil || strings.Trim(value, "0123456789.") != "" || !(left > 0 && left < 1e9) {
				return nil, fmt.Errorf("d=%q is not a time to wait", value)
			}
			o.clientWait = relay.Duration(left)
		case "g":
			o.group = parseKey(value)
		case "h":
			if o.loadHint, err = strconv.ParseFloat(value, 64); err != nil || !(o.loadHint >= 0 && o.loadHint < 1e12) {
				return nil, fmt.Errorf("h=%q is not a load", value)
			}
		case "r", "again":
			o.returned = o.returned || value != "0"
		case "at":
			o.previousServer = value
		}
		at += len(field) + 1
	}
	switch {
	case o.class == "":
		return nil, fmt.Errorf("c is missing")
	case o.beforeWait == "" && o.previousServer == "":
		return nil, fmt.Errorf("d is missing")
	case o.beforeWait == "": // a connection from before the run may wait as long as the rules let it
		o.beforeWait, o.clientWait = text, previousServerTimeout
	}
	return o, nil
}

// previousServerTimeout is how long a connection from before the run may take to come up.
const previousServerTimeout = 40 * time.Second

// encode is the opening as it goes on to a server that is given left, with what more it is told.
func (o *opening) encode(left time.Duration, more string) []byte {
	if !strings.HasSuffix(o.beforeWait, "d=") {
		return []byte(o.beforeWait + more + "\r\n")
	}
	return []byte(o.beforeWait + strconv.FormatInt(max(1, left.Milliseconds()), 10) + o.afterWait + more + "\r\n")
}

// parseKey reads the hexadecimal figures of keys and groups; any other text stands for a parseKey too.
func parseKey(text string) uint64 {
	if x, err := strconv.ParseUint(text, 16, 64); err == nil {
		return x
	}
	return relay.ServerKey(text)
}
