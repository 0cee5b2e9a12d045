package xmpp

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"capersail/decide"
	"capersail/internal/wire/splice"
)

// A client that did not read for longer than a write may take was left on an open connection on which nothing
// ever came: its stream had ended at the server, and nobody had told it. The connection must end, whether the
// client only listens or sends as well.
func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	for name, sends := range map[string]int{"listens": 0, "sends": 3, "sends more than the queue holds": 300} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipedStream(t)
				defer p.close()
				p.server.readAll(nil)
				p.client.sendEvery(0, sends, message)
				p.server.send("%s", alert+alert)
				pass(splice.WriteTimeout + time.Millisecond)
				p.checkEnded(decide.Cancelled)
				got := make(chan error, 1)
				go func() {
					_, err := io.Copy(io.Discard, p.client.conn)
					got <- err
				}()
				select {
				case <-got:
				case <-time.After(time.Minute):
					t.Error("the client's connection is open a minute after its stream ended, want it closed")
				}
			})
		})
	}
}
