package discovery

import (
	"context"

	"capersail/decide"
)

// loggedChanges bounds the servers that the log line of a list names.
const loggedChanges = 16

// logCall writes how one call began to be answered, or why it was not. A call that was given up, as another one has been
// answered or the client follows discovery elsewhere, has nothing to tell.
func (c *Client) logCall(ctx context.Context, a *answer, path string) {
	if ctx.Err() != nil {
		return
	}
	event := c.log.Info()
	if a.err != nil {
		event = event.AnErr("error", a.err)
	}
	event.Uint64("call", a.id).Str("path", path).Bool("second", a.no > 0).Float64("took_ms", a.took).Msg("discovery call")
}

// logList writes that a list is taken in, with the changes that take servers away.
func (c *Client) logList(a *answer, list *List, held int64) {
	var draining, gone []string
	for _, entry := range list.Entries {
		switch {
		case len(draining)+len(gone) >= loggedChanges:
		case entry.Mode == decide.Draining:
			draining = append(draining, entry.ID)
		case entry.Mode == decide.GoneMode:
			gone = append(gone, entry.ID)
		}
	}
	c.log.Info().Uint64("call", a.id).Int64("version", list.Version).Int64("held", held).Bool("whole", list.Full).
		Int("entries", len(list.Entries)).Strs("draining", draining).Strs("gone", gone).Msg("list taken in")
}
