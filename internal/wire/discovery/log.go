package discovery

import (
	"context"

	"capersail/decide"
	"capersail/internal/relay"
)

// maxLoggedServers bounds the servers named in the log message of a list.
const maxLoggedServers = 16

// logCall logs the result of a call up to its first list. A cancelled call is not logged: another one was
// answered first, or the client was moved to another address or restarted.
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
		Msg("discovery call answered or failed")
}

// logList logs a list that is applied, with the servers that it drains or removes. held is the version of the
// list before it.
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

// listMessage returns the log message for a list: a complete list or a watch event.
func listMessage(list *EndpointList) string {
	if list.Complete {
		return "complete endpoint list applied"
	}
	return "watch event applied"
}
