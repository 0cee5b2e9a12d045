package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// EndpointList is what discovery knew at some time.
type EndpointList struct {
	Version   int64
	Complete  bool
	Endpoints []relay.Endpoint
}

// maxListBytes is the most bytes of one list.
const maxListBytes = 8 << 20

// objectReader reads JSON objectReader that each end with their line, be it on one line or indented over several.
type objectReader struct{ r *bufio.Reader }

// next returns the next object, or nothing for an empty line. With an error it returns what has come of one so far.
func (o *objectReader) next() (text []byte, err error) {
	depth, quoted, escaped := 0, false, false
	for {
		part, err := o.r.ReadSlice('\n')
		if text = append(text, part...); len(text) > maxListBytes {
			return nil, errors.New("a list over the bound")
		}
		for _, b := range part {
			switch {
			case escaped:
				escaped = false
			case quoted:
				escaped, quoted = b == '\\', b != '"'
			case b == '"':
				quoted = true
			case b == '{', b == '[':
				depth++
			case b == '}', b == ']':
				depth--
			}
		}
		if errors.Is(err, bufio.ErrBufferFull) || err == nil && depth > 0 {
			continue
		}
		return bytes.TrimSpace(text), err
	}
}

// listConfirmation holds back a whole list that takes back what is known: one without any server, or of an older version than the one
// held from the same address. It may be true, as a service may have begun anew, or a copy that lags behind may have
// answered, or one that has not read its servers yet. So another call is made at once, and what two in a row say is taken.
type listConfirmation struct {
	address string // that the list held came from
	pending bool   // one was held back, and no list has been taken since
}

// accepts tells whether a list is to be taken in, as one of held servers and a version is held.
func (d *listConfirmation) accepts(l *EndpointList, version int64, held int, address string) bool {
	older := version != unknownVersion && l.Version < version && d.address == address
	if l.Complete && !d.pending && (older || len(l.Endpoints) == 0 && held > 0) {
		d.pending = true
		return false
	}
	d.address, d.pending = address, false
	return true
}

// ParseList reads one list, as discovery sends it or as a relay's configuration holds it. An entry that makes
// no sense is logged and skipped: one bad line must not hide the news about all other servers.
func ParseList(text string, log zerolog.Logger) (*EndpointList, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	// An empty array is a list too: a watch that has missed nothing begins with one. fastjson gives nil for
	// it, as for no array at all, so the type is what counts.
	if in := v.Get("instances"); v.Type() != fastjson.TypeObject || in != nil && in.Type() != fastjson.TypeArray {
		return nil, fmt.Errorf("list: not an object with an array of instances")
	}
	list := &EndpointList{Version: v.GetInt64("generation"), Complete: v.GetBool("reset")}
	for _, e := range v.GetArray("instances") {
		if l, err := parseEndpoint(e); err != nil {
			log.Warn().Err(err).Str("entry", e.String()).Msg("bad entry in the list; skipped")
		} else {
			list.Endpoints = append(list.Endpoints, l)
		}
	}
	return list, nil
}

func parseEndpoint(e *fastjson.Value) (relay.Endpoint, error) {
	l := relay.Endpoint{ID: string(e.GetStringBytes("instanceId")), Address: string(e.GetStringBytes("hostPort")),
		Zone: string(e.GetStringBytes("zone")), Cell: int32(e.GetInt("cell")), StartedAt: relay.FromUnixMillis(e.GetFloat64("startedAtMs")),
		SupportsResume: e.GetBool("resumes")}
	if l.ID == "" {
		return l, fmt.Errorf("instanceId is missing")
	}
	switch mode := string(e.GetStringBytes("lifecycle")); mode {
	case "Ready":
		l.Mode = decide.Ready
	case "Terminating":
		l.Mode = decide.Draining
	case "Gone":
		l.Mode = decide.Removed
	default:
		return l, fmt.Errorf("lifecycle %q", mode)
	}
	if _, _, err := net.SplitHostPort(l.Address); err != nil {
		if l.Mode == decide.Ready {
			return l, fmt.Errorf("hostPort: %w", err)
		}
		l.Address = "" // that it takes nothing new counts all the same; what is known of its address stays
	}
	return l, nil
}
