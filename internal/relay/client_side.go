package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file holds the client side's methods of a request.

// EstablishedOrEnded returns a channel that is closed once the request is established or has ended.
func (r *Request) EstablishedOrEnded() <-chan struct{} { return r.establishedOrEnded }

// BothSidesDone returns a channel that is closed once both the client side and the server side have finished
// with the request.
func (r *Request) BothSidesDone() <-chan struct{} { return r.bothSidesDone }

// State returns where the request stands, with the final answer if it ended without being established.
func (r *Request) State() (State, Answer) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.state, r.answer
}

// ServerConn returns the server side's end of an established request, else nil.
func (r *Request) ServerConn() ServerConn {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state != Established {
		return nil
	}
	return r.latest.conn
}

// FailOnClientError fails a request whose client has broken the protocol while it waited for its answer. It
// is false, and nothing has happened, if the request has its answer or is established.
func (r *Request) FailOnClientError() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.failWithNote("")
}

// failWithNote fails a request that is neither established nor ended, else it is false. The caller holds
// the lock.
func (r *Request) failWithNote(note string) bool {
	if r.state == Established || r.state == Ended {
		return false
	}
	r.withdrawFromDecision()
	r.setFinalAnswer(Answer{Kind: Failed, Note: note})
	return true
}

// withdrawFromDecision tells the decision module that a request which is not established is over, if it
// knows it. The caller holds the lock.
func (r *Request) withdrawFromDecision() {
	if !r.resumed && r.state != AwaitingOwnership {
		r.table.post(decide.ClientGone{ID: r.ID})
	}
}

// MigrateClient sends the client of an established request to another server.
func (r *Request) MigrateClient() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.migrate(recorder.Client)
}

// ClientClosed says that the client has ended its side. The server's side is ended in the same way.
func (r *Request) ClientClosed(how CloseKind) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	switch r.state {
	case Queued, Attempting, AwaitingOwnership:
		r.withdrawFromDecision()
		r.setFinalAnswer(Answer{Kind: NoAnswer})
	case Established:
		// A server that ended it has the client close too: that is not the client's doing.
		if !r.connection.serverClosed {
			r.table.post(decide.ClientGone{ID: r.ID})
		}
		r.state = Ended
		r.latest.conn.Close(how)
	}
}
