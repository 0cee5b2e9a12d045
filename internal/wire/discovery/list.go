package discovery

import (
	"errors"
	"fmt"
	"net"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// unknownVersion is the version of a list that cannot be compared with others.
const unknownVersion = -1

// EndpointList is one list of discovery's: what it knew at some time, or what changed.
type EndpointList struct {
	Version   int64
	Complete  bool // it replaces the list held; else it changes it
	Endpoints []relay.Endpoint
}

// The protocol's names of an endpoint's lifecycle.
var lifecycles = map[string]decide.EndpointState{
	"Ready":       decide.Ready,
	"Terminating": decide.Draining,
	"Gone":        decide.Removed,
}

// ParseList reads one list, as discovery sends it or as a relay's configuration holds it. An endpoint that
// makes no sense is logged and skipped: one bad line must not hide what is said of all other servers. An
// error is errMalformedList.
func ParseList(text string, log zerolog.Logger) (*EndpointList, error) {
	object, err := fastjson.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	// An empty array is a list too: a watch that has missed nothing begins with one. fastjson gives nil for
	// it, as for no array at all, so the type is what counts.
	instances := object.Get("instances")
	if object.Type() != fastjson.TypeObject || instances != nil && instances.Type() != fastjson.TypeArray {
		return nil, fmt.Errorf("%w: not an object with an array of instances", errMalformedList)
	}
	list := &EndpointList{Version: object.GetInt64("generation"), Complete: object.GetBool("reset")}
	for _, one := range object.GetArray("instances") {
		endpoint, err := parseEndpoint(one)
		if err != nil {
			log.Warn().Err(err).Str("entry", one.String()).
				Msg("malformed endpoint in the list skipped, its server stays as it was: check discovery")
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// parseEndpoint reads one endpoint of a list.
func parseEndpoint(object *fastjson.Value) (relay.Endpoint, error) {
	endpoint := relay.Endpoint{
		ID:             string(object.GetStringBytes("instanceId")),
		Address:        string(object.GetStringBytes("hostPort")),
		Zone:           string(object.GetStringBytes("zone")),
		Cell:           int32(object.GetInt("cell")),
		StartedAt:      relay.TimeFromUnixMillis(object.GetFloat64("startedAtMs")),
		SupportsResume: object.GetBool("resumes"),
	}
	if endpoint.ID == "" {
		return endpoint, errors.New("instanceId is missing")
	}
	lifecycle := string(object.GetStringBytes("lifecycle"))
	state, known := lifecycles[lifecycle]
	if !known {
		return endpoint, fmt.Errorf("lifecycle %q", lifecycle)
	}
	endpoint.State = state
	if _, _, err := net.SplitHostPort(endpoint.Address); err != nil {
		if state == decide.Ready {
			return endpoint, fmt.Errorf("hostPort: %w", err)
		}
		// That it takes nothing new counts all the same; what is known of its address stays.
		endpoint.Address = ""
	}
	return endpoint, nil
}
