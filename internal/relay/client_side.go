package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file contains the methods of Request that the client side calls.

// EstablishedOrEnded returns a channel that is closed once the request is established or has ended.
func (r *Request) EstablishedOrEnded() <-chan struct{} { return r.establishedOrEnded }

// BothSidesDone returns a channel that is closed once both the client side and the server side have finished
// with the request.
func (r *Request) BothSidesDone() <-chan struct{} { return r.bothSidesDone }

// State returns the state of the request, and its final answer if it ended without being established.
func (r *Request) State() (State, Answer) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.state, r.answer
}

// ServerConn returns the server side's connection if the request is established, and nil otherwise.
func (r *Request) ServerConn() ServerConn {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state != Established {
		return nil
	}
	return r.lastAttempt.conn
}

// FailOnClientError fails a request whose client has violated the protocol while it waited for the answer. It
// does nothing and returns false if the request has been answered or is established.
func (r *Request) FailOnClientError() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.failWithNote("")
}

// failWithNote fails a request that is neither established nor ended, with a note for the client. For any
// other request it does nothing and returns false. The caller holds the lock.
func (r *Request) failWithNote(note string) bool {
	if r.state == Established || r.state == Ended {
		return false
	}
	r.withdrawFromDecision()
	r.setFinalAnswer(Answer{Kind: Failed, Note: note})
	return true
}

// withdrawFromDecision notifies the decision module that a request which is not established needs no server
// any more, provided that the module knows the request. The caller holds the lock.
func (r *Request) withdrawFromDecision() {
	if !r.resumed && r.state != AwaitingOwnership {
		r.table.post(decide.ClientGone{ID: r.ID})
	}
}

// MigrateClient migrates the client of an established request to another server, at the request of the client
// side.
func (r *Request) MigrateClient() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.migrate(recorder.Client)
}

// ClientClosed reports that the client has closed its connection. The server's connection is closed in the
// same way.
func (r *Request) ClientClosed(kind CloseKind) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	switch r.state {
	case Queued, Attempting, AwaitingOwnership:
		r.withdrawFromDecision()
		r.setFinalAnswer(Answer{Kind: NoAnswer})
	case Established:
		// If the server closed first, the client closes as a consequence. The decision module learns of that
		// end by the attempt's outcome.
		if !r.connection.serverClosed {
			r.table.post(decide.ClientGone{ID: r.ID})
		}
		r.state = Ended
		r.lastAttempt.conn.Close(kind)
	}
}
