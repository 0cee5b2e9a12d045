package lifecycle

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/control"
)

// takeoverInterval is the interval at which a new process tries to bind what the old process of an upgrade
// still holds.
const takeoverInterval = 20 * time.Millisecond

// controlSocket is the control socket of a part. The socket belongs to the relay, not to one process: in an
// upgrade the old process answers on it until it ends, and the new one binds it then.
type controlSocket struct {
	cancel     context.CancelFunc // ends the wait for the old process; nil before start
	goroutines sync.WaitGroup
	server     *control.Server // nil while the old process has the socket
}

// start serves the socket at path. In an upgrade a socket that is in use is bound later, in the background.
// Otherwise it belongs to another relay, which is an error.
func (c *controlSocket) start(
	path string, sources control.Sources, upgrade bool, log zerolog.Logger,
) (err error) {
	c.server, err = control.Listen(path, sources, log)
	if !upgrade || !errors.Is(err, control.ErrSocketInUse) {
		return err
	}
	log.Info().Str("socket", path).
		Msg("control socket is in use by the process that this one replaces, bound once that has ended")
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.goroutines.Go(func() { c.takeOver(ctx, path, sources, log) })
	return nil
}

// takeOver binds the socket as soon as no other process has it.
func (c *controlSocket) takeOver(
	ctx context.Context, path string, sources control.Sources, log zerolog.Logger,
) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(takeoverInterval):
		}
		server, err := control.Listen(path, sources, log)
		switch {
		case err == nil:
			c.server = server
			log.Info().Str("socket", path).Msg("control socket taken over")
			return
		case !errors.Is(err, control.ErrSocketInUse):
			log.Error().Err(err).
				Msg("control socket not bound, clients are served: restart the relay to restore it")
			return
		}
	}
}

// stop stops serving the socket. It may be called before start.
func (c *controlSocket) stop() {
	if c.cancel != nil {
		c.cancel()
	}
	c.goroutines.Wait()
	if c.server != nil {
		c.server.Close()
	}
}
