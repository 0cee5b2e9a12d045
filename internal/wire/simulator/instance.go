package simulator

import (
	"github.com/valyala/fastjson"

	"capersail/decide"
)

// instance is one instance with its own numbering of everything, so that its decisions do not depend on
// which other instances this process hosts.
type instance struct {
	number   int
	balancer *decide.Balancer
	classes  map[string]decide.Class
	tenants  map[string]decide.Tenant
	zones    map[string]decide.Zone
	loadKey  string
	local    []decide.ServerID // by the hub's number, -1 if not met
	global   []int             // the hub's number, by local number
	requests map[string]*trackedRequest
	byID     map[decide.RequestID]*trackedRequest
	lastID   decide.RequestID
}

// trackedRequest is a request that either side may still name.
type trackedRequest struct {
	id           decide.RequestID
	name         string
	openAttempts int // attempts whose end has not been told
	finished     bool
}

// newInstance starts an instance from its settings.
func newInstance(who int, seed uint64, p *fastjson.Value) *instance {
	site := DecodeSettings(p)
	return &instance{number: who, classes: site.Classes, tenants: site.Tenants, zones: site.Zones, loadKey: site.LoadField,
		requests: map[string]*trackedRequest{}, byID: map[decide.RequestID]*trackedRequest{}, balancer: decide.New(site.Settings, seed)}
}

// forgetFinished forgets a request that nobody will name again.
func (n *instance) forgetFinished(id decide.RequestID) {
	if j := n.byID[id]; j != nil && j.finished && j.openAttempts <= 0 {
		delete(n.byID, id)
		delete(n.requests, j.name)
	}
}
