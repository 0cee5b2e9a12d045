package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file holds the client side's methods of a call.

// Settled is closed once the call is up or ended.
func (c *Call) Settled() <-chan struct{} { return c.settled }

// Finished is closed once neither side has anything to do with the call any more.
func (c *Call) Finished() <-chan struct{} { return c.finished }

// Spoil fails a call whose client has broken the protocol while it waited for its answer. It is false, and
// nothing has happened, if the call has its answer or is up.
func (c *Call) Spoil() bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	return c.spoil("")
}

func (c *Call) spoil(note string) bool {
	if c.state == Up || c.state == Ended {
		return false
	}
	if !c.resumed && c.state != Claiming { // else the module does not know it
		c.x.post(decide.Gone{ID: c.ID})
	}
	c.end(Answer{Kind: Failed, Note: note})
	return true
}

// Dismiss sends a client away whose call is up.
func (c *Call) Dismiss() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	c.move(recorder.Client)
}

// State is where the call stands, with the final answer if it ended without coming up.
func (c *Call) State() (State, Answer) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	return c.state, c.answer
}

// Remote is the server side's end of a call that is up, else nil.
func (c *Call) Remote() Remote {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state != Up {
		return nil
	}
	return c.remote
}

// Leave says that the client has ended its side. The server's side is ended in the same way.
func (c *Call) Leave(how Ending) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	switch c.state {
	case Held, Trying, Claiming:
		if !c.resumed && c.state != Claiming {
			c.x.post(decide.Gone{ID: c.ID})
		}
		c.end(Answer{Kind: NoAnswer})
	case Up:
		if !c.broken { // else the server ended it, and this is only the client's side of that
			c.x.post(decide.Gone{ID: c.ID})
		}
		c.state = Ended
		c.remote.Close(how)
	}
}

// Asked says that a line went to the server; see Heard.
func (c *Call) Asked() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.asked == 0 {
		c.asked = c.x.Clock.Now()
	}
}
