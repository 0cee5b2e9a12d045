package simulator

import (
	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// instance is one decision module with its own numbering of everything, so that its decisions do not depend
// on which other instances this process hosts.
type instance struct {
	number     int
	balancer   *decide.Balancer
	deployment *relay.Deployment

	serverIDs  []decide.ServerID // by the hub's number, -1 for a server not met yet
	hubNumbers []int             // by server id

	requests map[string]*trackedRequest
	byID     map[decide.RequestID]*trackedRequest
	lastID   decide.RequestID
}

// trackedRequest is a request that either side may still name.
type trackedRequest struct {
	id           decide.RequestID
	name         string
	openAttempts int // attempts whose outcome has not come
	finished     bool
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

// emptyInstance stands for one that was stopped: whatever is still under way for it is void. It has no
// balancer.
func emptyInstance() *instance {
	return &instance{
		deployment: &relay.Deployment{},
		requests:   map[string]*trackedRequest{},
		byID:       map[decide.RequestID]*trackedRequest{},
	}
}

// serverID numbers a server of the hub's for this instance.
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

// track numbers a request that begins.
func (n *instance) track(name string, openAttempts int) decide.RequestID {
	n.lastID++
	r := &trackedRequest{id: n.lastID, name: name, openAttempts: openAttempts}
	n.requests[name], n.byID[r.id] = r, r
	return r.id
}

// request is the request of a name, a zero one if nobody may name it any more.
func (n *instance) request(name []byte) *trackedRequest {
	if r := n.requests[string(name)]; r != nil {
		return r
	}
	return &trackedRequest{}
}

// requestName is the name of a request, "" if nobody may name it any more.
func (n *instance) requestName(id decide.RequestID) string {
	if r := n.byID[id]; r != nil {
		return r.name
	}
	return ""
}

// finish notes that a request has its final answer.
func (n *instance) finish(id decide.RequestID) {
	if r := n.byID[id]; r != nil {
		r.finished = true
	}
	n.forgetFinished(id)
}

// forgetFinished forgets a request that nobody will name again.
func (n *instance) forgetFinished(id decide.RequestID) {
	if r := n.byID[id]; r != nil && r.finished && r.openAttempts <= 0 {
		delete(n.byID, id)
		delete(n.requests, r.name)
	}
}
