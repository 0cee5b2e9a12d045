package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file holds the client side's methods of a call.

// Settled is closed once the call is up or ended.
func (c *Request) Settled() <-chan struct{} { return c.settled }

// Finished is closed once neither side has anything to do with the call any more.
func (c *Request) Finished() <-chan struct{} { return c.finished }

// FailOnClientError fails a call whose client has broken the protocol while it waited for its answer. It is false, and
// nothing has happened, if the call has its answer or is up.
func (c *Request) FailOnClientError() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.failWithNote("")
}

func (c *Request) failWithNote(note string) bool {
	if c.state == Established || c.state == Ended {
		return false
	}
	if !c.resumed && c.state != AwaitingOwnership { // else the module does not know it
		c.table.post(decide.ClientGone{ID: c.ID})
	}
	c.answerFinally(Answer{Kind: Failed, Note: note})
	return true
}

// MigrateClient sends a client away whose call is up.
func (c *Request) MigrateClient() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.migrate(recorder.Client)
}

// State is where the call stands, with the final answer if it ended without coming up.
func (c *Request) State() (State, Answer) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.state, c.answer
}

// ServerConn is the server side's end of a call that is up, else nil.
func (c *Request) ServerConn() ServerConn {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state != Established {
		return nil
	}
	return c.serverConn
}

// ClientClosed says that the client has ended its side. The server's side is ended in the same way.
func (c *Request) ClientClosed(how CloseKind) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	switch c.state {
	case Queued, Attempting, AwaitingOwnership:
		if !c.resumed && c.state != AwaitingOwnership {
			c.table.post(decide.ClientGone{ID: c.ID})
		}
		c.answerFinally(Answer{Kind: NoAnswer})
	case Established:
		if !c.serverClosed { // else the server ended it, and this is only the client's side of that
			c.table.post(decide.ClientGone{ID: c.ID})
		}
		c.state = Ended
		c.serverConn.Close(how)
	}
}
