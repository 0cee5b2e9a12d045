package discovery

import (
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
		Zone: string(e.GetStringBytes("zone")), Cell: int32(e.GetInt("cell")), StartedAt: e.GetFloat64("startedAtMs"),
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
