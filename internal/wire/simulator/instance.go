package simulator

import (
	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// instance is one decision module with its own numbering of servers and requests, so that its decisions do
// not depend on which other instances this process hosts.
type instance struct {
	number     int
	balancer   *decide.Balancer
	deployment *relay.Deployment

	serverIDs  []decide.ServerID // by the hub's number; -1 for a server not seen yet
	hubNumbers []int             // by server ID

	requests map[string]*trackedRequest
	byID     map[decide.RequestID]*trackedRequest
	lastID   decide.RequestID
}

// trackedRequest is a request that events or actions may still name.
type trackedRequest struct {
	id           decide.RequestID
	name         string
	openAttempts int  // attempts without an outcome so far
	finished     bool // the request is over; attempts may still be open
}

// newInstance starts an instance from its settings.
func newInstance(number int, seed uint64, settings *fastjson.Value) *instance {
	deployment := DecodeSettings(settings)
	n := emptyInstance()
	n.number = number
	n.deployment = deployment
	n.balancer = decide.New(deployment.Settings, seed)
	return n
}

// emptyInstance returns an instance without a balancer. It stands for an instance that was stopped, whose
// events are decoded but ignored.
func emptyInstance() *instance {
	return &instance{
		deployment: &relay.Deployment{},
		requests:   map[string]*trackedRequest{},
		byID:       map[decide.RequestID]*trackedRequest{},
	}
}

// serverID returns this instance's number of a server, given the hub's number.
func (n *instance) serverID(hubNumber int) decide.ServerID {
	for hubNumber >= len(n.serverIDs) {
		n.serverIDs = append(n.serverIDs, -1)
	}
	if n.serverIDs[hubNumber] < 0 {
		n.serverIDs[hubNumber] = decide.ServerID(len(n.hubNumbers))
		n.hubNumbers = append(n.hubNumbers, hubNumber)
	}
	return n.serverIDs[hubNumber]
}

// track starts to track a new request and returns its ID.
func (n *instance) track(name string, openAttempts int) decide.RequestID {
	n.lastID++
	r := &trackedRequest{id: n.lastID, name: name, openAttempts: openAttempts}
	n.requests[name], n.byID[r.id] = r, r
	return r.id
}

// request returns the tracked request of a name, or a zero trackedRequest if there is none.
func (n *instance) request(name []byte) *trackedRequest {
	if r := n.requests[string(name)]; r != nil {
		return r
	}
	return &trackedRequest{}
}

// requestName returns the name of a tracked request, or "" if it is not tracked.
func (n *instance) requestName(id decide.RequestID) string {
	if r := n.byID[id]; r != nil {
		return r.name
	}
	return ""
}

// finish marks a request as finished, as it has its final answer.
func (n *instance) finish(id decide.RequestID) {
	if r := n.byID[id]; r != nil {
		r.finished = true
	}
	n.forgetFinished(id)
}

// forgetFinished stops tracking a request that is finished and has no open attempts.
func (n *instance) forgetFinished(id decide.RequestID) {
	if r := n.byID[id]; r != nil && r.finished && r.openAttempts <= 0 {
		delete(n.byID, id)
		delete(n.requests, r.name)
	}
}
