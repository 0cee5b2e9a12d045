package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file holds the client side's methods of a call.

// Settled is closed once the call is up or ended.
func (r *Request) Settled() <-chan struct{} { return r.settled }

// Finished is closed once neither side has anything to do with the call any more.
func (r *Request) Finished() <-chan struct{} { return r.finished }

// FailOnClientError fails a call whose client has broken the protocol while it waited for its answer. It is false, and
// nothing has happened, if the call has its answer or is up.
func (r *Request) FailOnClientError() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.failWithNote("")
}

func (r *Request) failWithNote(note string) bool {
	if r.state == Established || r.state == Ended {
		return false
	}
	if !r.resumed && r.state != AwaitingOwnership { // else the module does not know it
		r.table.post(decide.ClientGone{ID: r.ID})
	}
	r.answerFinally(Answer{Kind: Failed, Note: note})
	return true
}

// MigrateClient sends a client away whose call is up.
func (r *Request) MigrateClient() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.migrate(recorder.Client)
}

// State is where the call stands, with the final answer if it ended without coming up.
func (r *Request) State() (State, Answer) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.state, r.answer
}

// ServerConn is the server side's end of a call that is up, else nil.
func (r *Request) ServerConn() ServerConn {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state != Established {
		return nil
	}
	return r.serverConn
}

// ClientClosed says that the client has ended its side. The server's side is ended in the same way.
func (r *Request) ClientClosed(how CloseKind) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	switch r.state {
	case Queued, Attempting, AwaitingOwnership:
		if !r.resumed && r.state != AwaitingOwnership {
			r.table.post(decide.ClientGone{ID: r.ID})
		}
		r.answerFinally(Answer{Kind: NoAnswer})
	case Established:
		if !r.serverClosed { // else the server ended it, and this is only the client's side of that
			r.table.post(decide.ClientGone{ID: r.ID})
		}
		r.state = Ended
		r.serverConn.Close(how)
	}
}
