package discovery

import (
	"context"

	"capersail/decide"
)

// maxLoggedServers bounds the servers that the log line of a list names.
const maxLoggedServers = 16

// logCall writes how one call began to be answered, or why it was not. A call that was given up, as another one has been
// answered or the client follows discovery elsewhere, has nothing to tell.
func (c *Client) logCall(ctx context.Context, a *response, path string) {
	if ctx.Err() != nil {
		return
	}
	event := c.log.Info()
	if a.err != nil {
		event = event.AnErr("error", a.err)
	}
	event.Uint64("call", a.callID).Str("path", path).Bool("second", a.attempt > 0).Float64("took_ms", a.took).Msg("discovery call")
}

// logList writes that a list is taken in, with the changes that take servers away.
func (c *Client) logList(a *response, list *EndpointList, held int64) {
	var draining, gone []string
	for _, entry := range list.Endpoints {
		switch {
		case len(draining)+len(gone) >= maxLoggedServers:
		case entry.Mode == decide.Draining:
			draining = append(draining, entry.ID)
		case entry.Mode == decide.Removed:
			gone = append(gone, entry.ID)
		}
	}
	c.log.Info().Uint64("call", a.callID).Int64("version", list.Version).Int64("held", held).Bool("whole", list.Complete).
		Int("entries", len(list.Endpoints)).Strs("draining", draining).Strs("gone", gone).Msg("list taken in")
}
