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
	// previousServerTimeout is how long a connection that existed before this relay started may take to be
	// established again at its previous server.
	previousServerTimeout = 40 * time.Second
	// maxPosition is the last scan that a client can name: servers number scans with 63 bits.
	maxPosition = 1<<63 - 2
	// maxClientWaitMillis and maxLoadHint are the upper bounds, exclusive, of fields d and h.
	maxClientWaitMillis = 1e9
	maxLoadHint         = 1e12
)

// opening is a client's parsed first line. It is forwarded unchanged except for the client's wait, field d.
type opening struct {
	id             string
	beforeWait     string // the line up to the value of d; the whole line if there is no d
	afterWait      string // the line after the value of d
	class, tenant  string
	key, group     uint64
	loadHint       float64
	clientWait     time.Duration // in whole microseconds
	returned       bool          // the client has opened this request before, at any relay
	previousServer string        // ID of the server that had the connection before this relay started
	resumeToken    string        // a token or newStreamToken; "" if the stream is not resumable
	position       uint64        // the last scan that the client received
	hasPosition    bool
}

// newStreamToken is what a client without a token sends to start a resumable stream.
const newStreamToken = "new"

// parseResumableOpening parses a first line where resume tokens are enabled. The fields resume and pos are
// for the relay and are removed from the forwarded line. An invalid position gives a resumeError.
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
		return nil, errors.New("fields resume and at exclude one another; a client may send only one")
	}
	if position == "" {
		return o, nil
	}
	if o.position, err = strconv.ParseUint(position, 10, 64); err != nil || o.position > maxPosition {
		err := fmt.Errorf("field pos=%q is not a scan number between 0 and 2^63-2", position)
		return nil, &resumeError{note: resume.NoteInvalidPosition, err: err}
	}
	o.hasPosition = true
	return o, nil
}

// parseOpening parses `OPEN id key name=value,...`. A line of any other form must not be forwarded: the
// server would answer SYNTAX.
func parseOpening(line []byte) (*opening, error) {
	text := strings.TrimRight(string(line), "\r\n")
	parts := strings.Split(text, " ")
	if len(parts) != 4 || parts[0] != wordOpen || parts[1] == "" || parts[2] == "" {
		return nil, errors.New("line is not of the form OPEN id key name=value[,name=value]")
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return nil, errors.New("line contains a control character")
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
		return nil, errors.New("field c (class) is missing")
	case o.beforeWait == "" && o.previousServer == "":
		return nil, errors.New("field d (the client's wait in ms) is missing")
	case o.beforeWait == "": // a connection to a previous server names no wait
		o.beforeWait, o.clientWait = text, previousServerTimeout
	}
	return o, nil
}

// setField stores the value of one field. Fields unknown to this relay are for the server and are ignored.
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
			return fmt.Errorf("field d=%q is not a wait in ms: want a decimal number above 0 and below 1e9",
				value)
		}
		o.clientWait = relay.DurationFromMillis(wait)
	case "g":
		o.group = parseKey(value)
	case "h":
		hint, err := strconv.ParseFloat(value, 64)
		if err != nil || !(hint >= 0 && hint < maxLoadHint) {
			return fmt.Errorf("field h=%q is not a load: want a number of at least 0 and below 1e12", value)
		}
		o.loadHint = hint
	case "r", "again":
		o.returned = o.returned || value != "0"
	case "at":
		o.previousServer = value
	}
	return nil
}

// encode returns the line for a server: the client's line with clientWait as its wait (at least 1 ms) and
// with extraFields appended.
func (o *opening) encode(clientWait time.Duration, extraFields string) []byte {
	if !strings.HasSuffix(o.beforeWait, "d=") {
		return []byte(o.beforeWait + extraFields + "\r\n")
	}
	wait := strconv.FormatInt(max(1, clientWait.Milliseconds()), 10)
	return []byte(o.beforeWait + wait + o.afterWait + extraFields + "\r\n")
}
