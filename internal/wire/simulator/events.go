package simulator

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"capersail/decide"
)

// decodeEvent builds the module's event; nil stands for one that concerns nothing the instance still knows.
// to is nil for an instance that was stopped.
func (h *Hub) decodeEvent(to *instance, kind eventKind, v *eventValues) (decide.Event, error) {
	if to == nil {
		to = emptyInstance()
	}
	switch kind {
	case eventEndpointList:
		return h.decodeList(to, v)
	case eventRequest:
		request, err := h.decodeRequest(to, v, 0)
		if err != nil || request == nil {
			return nil, err
		}
		return *request, nil
	case eventInherited:
		request, err := h.decodeRequest(to, v, 1)
		if err != nil || request == nil {
			return nil, err
		}
		return decide.Inherited{Request: *request, Server: h.serverID(to, v.requiredText(10))}, nil
	case eventTimer:
		return decide.TimerFired{Token: v.unsigned(2)}, nil
	case eventProbeResult:
		return h.decodeProbeResult(to, v)
	case eventPeerMessage:
		data, err := base64.StdEncoding.DecodeString(string(v.text(3)))
		return decide.PeerMessage{From: int(v.unsigned(2)), Data: data}, err
	case eventOpened, eventNote, eventAttemptOutcome, eventClientGone:
		return h.decodeOfRequest(to, kind, v)
	}
	return nil, wordError{"event", string(kind)}
}

// decodeOfRequest builds an event of a request that is under way.
func (h *Hub) decodeOfRequest(to *instance, kind eventKind, v *eventValues) (event decide.Event, err error) {
	request := to.request(v.requiredText(2))
	switch kind {
	case eventOpened:
		event = decide.Opened{
			ID:           request.id,
			Attempt:      int(v.unsigned(3)),
			Server:       h.serverID(to, v.requiredText(4)),
			SetupLatency: v.millis(5),
		}
	case eventNote:
		event = h.decodeNote(to, request, v)
	case eventAttemptOutcome:
		event, err = h.decodeOutcome(to, request, v)
	case eventClientGone:
		request.finished = true
		event = decide.ClientGone{ID: request.id}
	}
	if err != nil || request.id == 0 {
		return nil, err
	}
	return event, nil
}

func (h *Hub) decodeProbeResult(to *instance, v *eventValues) (decide.Event, error) {
	status, err := lookUp(statuses, "status", v.unsigned(4))
	return decide.ProbeResult{
		Latency: v.millis(2),
		Server:  h.serverID(to, v.requiredText(3)),
		Status:  status,
		Report:  to.decodeReport(v.at(5)),
	}, err
}

// decodeNote builds the event of a note that comes while a request is open; nil for a note of a kind that is
// not known.
func (h *Hub) decodeNote(to *instance, request *trackedRequest, v *eventValues) decide.Event {
	server := h.serverID(to, v.requiredText(3))
	amount := v.float(5)
	switch v.unsigned(6) {
	case noteLoad:
		return decide.ConnectionLoad{ID: request.id, Server: server, Load: amount / 1e6}
	case noteDelay:
		return decide.MessageDelay{ID: request.id, Server: server, Delay: v.millis(5)}
	}
	return nil
}

// decodeOutcome builds the event of an attempt's end.
func (h *Hub) decodeOutcome(to *instance, request *trackedRequest, v *eventValues) (decide.Event, error) {
	status, err := lookUp(statuses, "status", v.unsigned(4))
	if err != nil {
		return nil, err
	}
	outcome := decide.Outcome{
		ID:      request.id,
		Attempt: int(v.unsigned(3)),
		Status:  status,
		Server:  h.serverID(to, v.requiredText(5)),
		Elapsed: v.millis(6),
		Closed:  v.boolean(7),
		Report:  to.decodeReport(v.at(8)),
	}
	request.openAttempts--
	request.finished = request.finished || outcome.Closed
	return outcome, nil
}

// decodeRequest builds a request that begins, with so many attempts out; nil where the instance was stopped.
func (h *Hub) decodeRequest(to *instance, v *eventValues, openAttempts int) (*decide.Request, error) {
	name := string(v.requiredText(2))
	class, known := to.deployment.Classes[string(v.text(3))]
	if !known && to.balancer != nil {
		return nil, wordError{"class", string(v.text(3))}
	}
	request := decide.Request{
		Class:    class,
		Tenant:   decide.NoTenant,
		Key:      v.unsigned(5),
		TimeLeft: v.millis(6),
		Group:    v.unsigned(8),
	}
	if tenant, known := to.deployment.Tenants[string(v.text(4))]; known {
		request.Tenant = tenant
	}
	attributes := v.unsigned(9)
	if attributes&attributeLoadHint != 0 {
		request.LoadHint = v.float(7)
	}
	request.Returning = attributes&attributesReturning != 0
	request.ExistingFlow = attributes&attributeFlow != 0
	if v.err != nil || to.balancer == nil {
		return nil, v.err
	}
	request.ID = to.track(name, openAttempts)
	return &request, nil
}

// decodeList builds the event of an endpoint list. Its endpoints are valid until the next list.
func (h *Hub) decodeList(to *instance, v *eventValues) (decide.Event, error) {
	kind, err := lookUp(watchKinds, "form", v.unsigned(2))
	if err != nil {
		return nil, err
	}
	h.endpoints = h.endpoints[:0]
	if list := v.at(4); list != nil {
		lines, err := list.Array()
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			endpoint, err := h.decodeEndpoint(to, line)
			if err != nil {
				return nil, err
			}
			h.endpoints = append(h.endpoints, endpoint)
		}
	}
	return decide.WatchEvent{Kind: kind, Endpoints: h.endpoints}, nil
}

func (h *Hub) decodeEndpoint(to *instance, line *fastjson.Value) (endpoint decide.Endpoint, err error) {
	values, err := line.Array()
	if err != nil {
		return endpoint, err
	}
	v := &eventValues{values: values}
	number := h.servers.number(v.requiredText(0))
	state, err := lookUp(endpointStates, "mode", v.unsigned(1))
	endpoint = decide.Endpoint{
		Server:        to.serverID(number),
		RendezvousKey: h.servers.keys[number],
		State:         state,
		Cell:          int32(v.unsigned(2)),
		StartedAt:     v.millis(5),
		Zone:          to.deployment.Zones[string(v.text(6))],
	}
	if err == nil && v.err != nil {
		err = fmt.Errorf("entry: %w", v.err)
	}
	return endpoint, err
}

// decodeReport reads a load report. A value that is absent, or is no number, is unknown; a negative one
// counts as 0.
func (n *instance) decodeReport(object *fastjson.Value) decide.LoadReport {
	report := decide.NoLoadReport
	if object == nil || object.Type() != fastjson.TypeObject {
		return report
	}
	read := func(key string, to *float64) {
		if x, err := finiteNumber(object.Get(key)); err == nil && key != "" {
			*to = max(x, 0)
		}
	}
	read(n.deployment.LoadField, &report.Load)
	read(reportInFlight, &report.InFlight)
	read(reportErrors, &report.ErrorsPerSecond)
	read(reportCPU, &report.CPUUtilization)
	return report
}
