package platform

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"capersail/internal/relay"
	"capersail/internal/resume"
)

const (
	// previousServerTimeout is how long a connection from before the run may take to be established.
	previousServerTimeout = 40 * time.Second
	// maxPosition is the last scan that can be asked for: servers count in 63 bits.
	maxPosition = 1<<63 - 2
	// maxClientWaitMillis and maxLoadHint bound what is taken for a figure.
	maxClientWaitMillis = 1e9
	maxLoadHint         = 1e12
)

// opening is a client's first line, taken apart. It is forwarded unchanged but for the client's wait.
type opening struct {
	id             string
	beforeWait     string // the line before the figure of d; all of it if there is none
	afterWait      string
	class, tenant  string
	key, group     uint64
	loadHint       float64
	clientWait     time.Duration // in whole microseconds
	returned       bool          // the client has been here, or elsewhere, before
	previousServer string        // the one that held the connection before the run
	resumeToken    string        // a token, or "new"; "" if the stream is never to go on elsewhere
	position       uint64
	hasPosition    bool
}

// newStreamToken is what a client sends that has no token yet.
const newStreamToken = "new"

// parseResumableOpening reads a first line where tokens are on. Their two fields are the relay's own, and are
// not forwarded. A position that cannot be read is a resumeError.
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
	o.resumeToken = token
	if o.previousServer != "" {
		return nil, errors.New("resume and at exclude one another")
	}
	if position == "" {
		return o, nil
	}
	if o.position, err = strconv.ParseUint(position, 10, 64); err != nil || o.position > maxPosition {
		err := fmt.Errorf("pos=%q is not the number of a scan", position)
		return nil, &resumeError{note: resume.NoteInvalidPosition, err: err}
	}
	o.hasPosition = true
	return o, nil
}

// parseOpening reads `OPEN id key name=value,...`. Whatever is not of that form is never forwarded: a server
// would answer SYNTAX.
func parseOpening(line []byte) (*opening, error) {
	text := strings.TrimRight(string(line), "\r\n")
	parts := strings.Split(text, " ")
	if len(parts) != 4 || parts[0] != wordOpen || parts[1] == "" || parts[2] == "" {
		return nil, errors.New("not of the form OPEN id key fields")
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return nil, errors.New("control character")
		}
	}
	o := &opening{id: parts[1], key: parseKey(parts[2])}
	at := len(text) - len(parts[3])
	for _, field := range strings.Split(parts[3], ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" || value == "" {
			return nil, fmt.Errorf("field %q is not name=value", field)
		}
		if name == "d" {
			o.beforeWait, o.afterWait = text[:at+len("d=")], text[at+len(field):]
		}
		if err := o.setField(name, value); err != nil {
			return nil, err
		}
		at += len(field) + len(",")
	}
	switch {
	case o.class == "":
		return nil, errors.New("c is missing")
	case o.beforeWait == "" && o.previousServer == "":
		return nil, errors.New("d is missing")
	case o.beforeWait == "": // a connection from before the run may wait as long as the rules let it
		o.beforeWait, o.clientWait = text, previousServerTimeout
	}
	return o, nil
}

// setField takes one field. Those that this relay does not know are the server's.
func (o *opening) setField(name, value string) error {
	switch name {
	case "c":
		o.class = value
	case "t":
		o.tenant = value
	case "d":
		wait, err := strconv.ParseFloat(value, 64)
		digits := strings.Trim(value, "0123456789.") == ""
		if err != nil || !digits || !(wait > 0 && wait < maxClientWaitMillis) {
			return fmt.Errorf("d=%q is not a time to wait", value)
		}
		o.clientWait = relay.DurationFromMillis(wait)
	case "g":
		o.group = parseKey(value)
	case "h":
		hint, err := strconv.ParseFloat(value, 64)
		if err != nil || !(hint >= 0 && hint < maxLoadHint) {
			return fmt.Errorf("h=%q is not a load", value)
		}
		o.loadHint = hint
	case "r", "again":
		o.returned = o.returned || value != "0"
	case "at":
		o.previousServer = value
	}
	return nil
}

// encode makes the line for a server that is given clientWait, with what more it is to know.
func (o *opening) encode(clientWait time.Duration, more string) []byte {
	if !strings.HasSuffix(o.beforeWait, "d=") {
		return []byte(o.beforeWait + more + "\r\n")
	}
	wait := strconv.FormatInt(max(1, clientWait.Milliseconds()), 10)
	return []byte(o.beforeWait + wait + o.afterWait + more + "\r\n")
}
