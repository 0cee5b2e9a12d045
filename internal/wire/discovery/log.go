package discovery

import (
	"context"

	"capersail/decide"
	"capersail/internal/relay"
)

// maxLoggedServers bounds the servers that the log line of a list names.
const maxLoggedServers = 16

// logCall logs how one call began to be answered, or why it was not. A call that was given up, as another one
// has been answered or the client follows discovery elsewhere, is not logged.
func (c *Client) logCall(ctx context.Context, r *response, path string) {
	if ctx.Err() != nil {
		return
	}
	event := c.log.Info()
	if r.err != nil {
		event = event.AnErr("error", r.err)
	}
	event.
		Uint64("call", r.callID).
		Str("path", path).
		Bool("second", r.attempt > 0).
		Float64("took_ms", relay.Millis(r.latency)).
		Msg("discovery call")
}

// logList logs that a list is taken in, with the servers that it drains or removes.
func (c *Client) logList(r *response, list *EndpointList, held int64) {
	var draining, gone []string
	for _, endpoint := range list.Endpoints {
		switch {
		case len(draining)+len(gone) >= maxLoggedServers:
		case endpoint.State == decide.Draining:
			draining = append(draining, endpoint.ID)
		case endpoint.State == decide.Removed:
			gone = append(gone, endpoint.ID)
		}
	}
	c.log.Info().
		Uint64("call", r.callID).
		Int64("version", list.Version).
		Int64("held", held).
		Bool("whole", list.Complete).
		Int("entries", len(list.Endpoints)).
		Strs("draining", draining).
		Strs("gone", gone).
		Msg(listMessage(list))
}

// listMessage tells a complete list from a watch event.
func listMessage(list *EndpointList) string {
	if list.Complete {
		return "endpoint list taken in"
	}
	return "watch event taken in"
}
