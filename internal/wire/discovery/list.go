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

// unknownVersion says that the version of the current list cannot be compared with those of the service.
const unknownVersion = -1

// EndpointList is a list received from discovery: a snapshot or a delta.
type EndpointList struct {
	Version   int64
	Complete  bool // the list is a snapshot, which replaces the current list; else a delta
	Endpoints []relay.Endpoint
}

// lifecycles maps the protocol's names of an endpoint's lifecycle to its state.
var lifecycles = map[string]decide.EndpointState{
	"Ready":       decide.Ready,
	"Terminating": decide.Draining,
	"Gone":        decide.Removed,
}

// ParseList parses a list as discovery sends it or as a relay's configuration contains it. Malformed
// endpoints are logged and skipped, so that one of them does not hide the others. Errors wrap
// errMalformedList.
func ParseList(text string, log zerolog.Logger) (*EndpointList, error) {
	object, err := fastjson.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	// An empty array is valid: a watch without missed events begins with one. GetArray returns nil both for
	// it and for a value of another type, so the type is checked here.
	instances := object.Get("instances")
	if object.Type() != fastjson.TypeObject || instances != nil && instances.Type() != fastjson.TypeArray {
		return nil, fmt.Errorf("%w: want an object with an array \"instances\"", errMalformedList)
	}
	list := &EndpointList{Version: object.GetInt64("generation"), Complete: object.GetBool("reset")}
	for _, instance := range object.GetArray("instances") {
		endpoint, err := parseEndpoint(instance)
		if err != nil {
			log.Warn().Err(err).Str("entry", instance.String()).
				Msg("malformed endpoint in the list skipped, its server keeps its state: check discovery")
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// parseEndpoint parses an endpoint of a list.
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
		return endpoint, fmt.Errorf("unknown lifecycle %q", lifecycle)
	}
	endpoint.State = state
	if _, _, err := net.SplitHostPort(endpoint.Address); err != nil {
		if state == decide.Ready {
			return endpoint, fmt.Errorf("hostPort: %w", err)
		}
		// The state is applied all the same, as the server takes no new requests. The table keeps the address
		// that it has.
		endpoint.Address = ""
	}
	return endpoint, nil
}
