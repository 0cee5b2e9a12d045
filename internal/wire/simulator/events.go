package simulator

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"capersail/decide"
)

// decodeEvent decodes an event for the decision module. It returns nil if the event concerns a request
// the instance no longer tracks. inst is nil for an instance that was stopped.
func (h *Hub) decodeEvent(inst *instance, kind eventKind, v *eventValues) (decide.Event, error) {
	if inst == nil {
		inst = emptyInstance()
	}
	switch kind {
	case eventEndpointList:
		return h.decodeList(inst, v)
	case eventRequest:
		request, err := h.decodeRequest(inst, v, 0)
		if err != nil || request == nil {
			return nil, err
		}
		return *request, nil
	case eventInherited:
		request, err := h.decodeRequest(inst, v, 1)
		if err != nil || request == nil {
			return nil, err
		}
		return decide.Inherited{Request: *request, Server: h.serverID(inst, v.requiredText(10))}, nil
	case eventTimer:
		return decide.TimerFired{Token: v.unsigned(2)}, nil
	case eventProbeResult:
		return h.decodeProbeResult(inst, v)
	case eventPeerMessage:
		data, err := base64.StdEncoding.DecodeString(string(v.text(3)))
		return decide.PeerMessage{From: int(v.unsigned(2)), Data: data}, err
	case eventOpened, eventNote, eventAttemptOutcome, eventClientGone:
		return h.decodeProgress(inst, kind, v)
	}
	return nil, unknownWordError{"event", string(kind)}
}

// decodeProgress decodes an event of a request that is in progress.
func (h *Hub) decodeProgress(inst *instance, kind eventKind, v *eventValues) (event decide.Event, err error) {
	request := inst.request(v.requiredText(2))
	switch kind {
	case eventOpened:
		event = decide.Opened{
			ID:           request.id,
			Attempt:      int(v.unsigned(3)),
			Server:       h.serverID(inst, v.requiredText(4)),
			SetupLatency: v.millis(5),
		}
	case eventNote:
		event = h.decodeNote(inst, request, v)
	case eventAttemptOutcome:
		event, err = h.decodeOutcome(inst, request, v)
	case eventClientGone:
		request.finished = true
		event = decide.ClientGone{ID: request.id}
	}
	if err != nil || request.id == 0 {
		return nil, err
	}
	return event, nil
}

func (h *Hub) decodeProbeResult(inst *instance, v *eventValues) (decide.Event, error) {
	status, err := lookUp(statuses, "status", v.unsigned(4))
	return decide.ProbeResult{
		Latency: v.millis(2),
		Server:  h.serverID(inst, v.requiredText(3)),
		Status:  status,
		Report:  inst.decodeReport(v.at(5)),
	}, err
}

// decodeNote decodes a note about an open request. It returns nil for a note of unknown kind.
func (h *Hub) decodeNote(inst *instance, request *trackedRequest, v *eventValues) decide.Event {
	server := h.serverID(inst, v.requiredText(3))
	amount := v.float(5)
	switch v.unsigned(6) {
	case noteLoad:
		return decide.ConnectionLoad{ID: request.id, Server: server, Load: amount / 1e6}
	case noteDelay:
		return decide.MessageDelay{ID: request.id, Server: server, Delay: v.millis(5)}
	}
	return nil
}

// decodeOutcome decodes the outcome of an attempt.
func (h *Hub) decodeOutcome(inst *instance, request *trackedRequest, v *eventValues) (decide.Event, error) {
	status, err := lookUp(statuses, "status", v.unsigned(4))
	if err != nil {
		return nil, err
	}
	outcome := decide.Outcome{
		ID:      request.id,
		Attempt: int(v.unsigned(3)),
		Status:  status,
		Server:  h.serverID(inst, v.requiredText(5)),
		Elapsed: v.millis(6),
		Closed:  v.boolean(7),
		Report:  inst.decodeReport(v.at(8)),
	}
	request.openAttempts--
	request.finished = request.finished || outcome.Closed
	return outcome, nil
}

// decodeRequest decodes a new request that has openAttempts attempts already. It returns nil if the instance
// was stopped.
func (h *Hub) decodeRequest(inst *instance, v *eventValues, openAttempts int) (*decide.Request, error) {
	name := string(v.requiredText(2))
	class, known := inst.deployment.Classes[string(v.text(3))]
	if !known && inst.balancer != nil {
		return nil, unknownWordError{"class", string(v.text(3))}
	}
	request := decide.Request{
		Class:    class,
		Tenant:   decide.NoTenant,
		Key:      v.unsigned(5),
		TimeLeft: v.millis(6),
		Group:    v.unsigned(8),
	}
	if tenant, known := inst.deployment.Tenants[string(v.text(4))]; known {
		request.Tenant = tenant
	}
	attributes := v.unsigned(9)
	if attributes&attributeLoadHint != 0 {
		request.LoadHint = v.float(7)
	}
	request.Returning = attributes&attributesReturning != 0
	request.ExistingFlow = attributes&attributeFlow != 0
	if v.err != nil || inst.balancer == nil {
		return nil, v.err
	}
	request.ID = inst.track(name, openAttempts)
	return &request, nil
}

// decodeList decodes an endpoint list. The endpoints of the event are valid until the next call.
func (h *Hub) decodeList(inst *instance, v *eventValues) (decide.Event, error) {
	kind, err := lookUp(watchKinds, "kind of endpoint list", v.unsigned(2))
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
			endpoint, err := h.decodeEndpoint(inst, line)
			if err != nil {
				return nil, err
			}
			h.endpoints = append(h.endpoints, endpoint)
		}
	}
	return decide.WatchEvent{Kind: kind, Endpoints: h.endpoints}, nil
}

func (h *Hub) decodeEndpoint(inst *instance, line *fastjson.Value) (endpoint decide.Endpoint, err error) {
	values, err := line.Array()
	if err != nil {
		return endpoint, err
	}
	v := &eventValues{values: values}
	number := h.servers.number(v.requiredText(0))
	state, err := lookUp(endpointStates, "endpoint state", v.unsigned(1))
	endpoint = decide.Endpoint{
		Server:        inst.serverID(number),
		RendezvousKey: h.servers.keys[number],
		State:         state,
		Cell:          int32(v.unsigned(2)),
		StartedAt:     v.millis(5),
		Zone:          inst.deployment.Zones[string(v.text(6))],
	}
	if err == nil && v.err != nil {
		err = fmt.Errorf("endpoint of the list: %w", v.err)
	}
	return endpoint, err
}

// decodeReport decodes a load report. A value that is absent or not a number is unknown; a negative one
// counts as 0.
func (n *instance) decodeReport(object *fastjson.Value) decide.LoadReport {
	report := decide.NoLoadReport
	if object == nil || object.Type() != fastjson.TypeObject {
		return report
	}
	read := func(key string, target *float64) {
		if x, err := finiteNumber(object.Get(key)); err == nil && key != "" {
			*target = max(x, 0)
		}
	}
	read(n.deployment.LoadField, &report.Load)
	read(reportInFlight, &report.InFlight)
	read(reportErrors, &report.ErrorsPerSecond)
	read(reportCPU, &report.CPUUtilization)
	return report
}
