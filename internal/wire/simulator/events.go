package simulator

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// decodeEvent builds the module's event; nil stands for one that concerns nothing the instance still knows.
func (h *Hub) decodeEvent(n *instance, kind string, f *eventValues) (decide.Event, error) {
	if n == nil { // stopped: whatever is still under way for it is void
		n = &instance{requests: map[string]*trackedRequest{}}
	}
	switch kind {
	case "registry":
		return h.decodeList(n, f)
	case "newRequest":
		r, err := h.decodeRequest(n, f, 0)
		if err != nil || r == nil {
			return nil, err
		}
		return *r, nil
	case "inherited":
		r, err := h.decodeRequest(n, f, 1)
		if err != nil || r == nil {
			return nil, err
		}
		return decide.Inherited{Request: *r, Server: h.serverID(n, f.requiredText(10))}, nil
	case "alarm":
		return decide.TimerFired{Token: f.unsigned(2)}, nil
	case "echo":
		status, err := decodeStatus(f.unsigned(4))
		return decide.ProbeResult{Latency: relay.Duration(f.float(2)), Server: h.serverID(n, f.requiredText(3)), Status: status,
			Report: n.decodeReport(f.at(5))}, err
	case "fromPeer":
		data, err := base64.StdEncoding.DecodeString(string(f.text(3)))
		return decide.PeerMessage{From: int(f.unsigned(2)), Data: data}, err
	}
	var name []byte
	switch kind {
	case "flowing", "interim", "closedAttempt", "dropped":
		name = f.requiredText(2)
	default:
		return nil, fmt.Errorf("unknown event")
	}
	j := n.requests[string(name)]
	if j == nil {
		j = &trackedRequest{}
	}
	var ev decide.Event
	switch kind {
	case "flowing":
		ev = decide.Opened{ID: j.id, Attempt: int(f.unsigned(3)), Server: h.serverID(n, f.requiredText(4)), SetupLatency: relay.Duration(f.float(5))}
	case "interim":
		backend, amount := h.serverID(n, f.requiredText(3)), f.float(5)
		switch f.unsigned(6) {
		case 1:
			ev = decide.ConnectionLoad{ID: j.id, Server: backend, Load: amount / 1e6}
		case 2:
			ev = decide.MessageDelay{ID: j.id, Server: backend, Delay: relay.Duration(amount)}
		}
	case "closedAttempt":
		status, err := decodeStatus(f.unsigned(4))
		if err != nil {
			return nil, err
		}
		o := decide.Outcome{ID: j.id, Attempt: int(f.unsigned(3)), Status: status, Server: h.serverID(n, f.requiredText(5)),
			Elapsed: relay.Duration(f.float(6)), Closed: f.boolean(7), Report: n.decodeReport(f.at(8))}
		j.openAttempts--
		j.finished = j.finished || o.Closed
		ev = o
	case "dropped":
		j.finished = true
		ev = decide.ClientGone{ID: j.id}
	}
	if j.id == 0 {
		return nil, nil
	}
	return ev, nil
}

func (h *Hub) decodeRequest(n *instance, f *eventValues, out int) (*decide.Request, error) {
	name := string(f.requiredText(2))
	class, ok := n.classes[string(f.text(3))]
	if !ok && n.balancer != nil {
		return nil, fmt.Errorf("unknown class %q", f.text(3))
	}
	r := decide.Request{Class: class, Tenant: decide.NoTenant, Key: f.unsigned(5), TimeLeft: relay.Duration(f.float(6)), Group: f.unsigned(8)}
	if t, ok := n.tenants[string(f.text(4))]; ok {
		r.Tenant = t
	}
	attrs := f.unsigned(9)
	if attrs&1 != 0 {
		r.LoadHint = f.float(7)
	}
	r.Returning, r.Flow = attrs&(2|16) != 0, attrs&8 != 0
	if f.err != nil || n.balancer == nil {
		return nil, f.err
	}
	n.lastID++
	r.ID = n.lastID
	j := &trackedRequest{id: r.ID, name: name, openAttempts: out}
	n.requests[name], n.byID[r.ID] = j, j
	return &r, nil
}

func (h *Hub) decodeList(n *instance, f *eventValues) (decide.Event, error) {
	var m decide.WatchEvent
	switch form := f.unsigned(2); form {
	case 4:
		m.Kind = decide.Delta
	case 0:
		m.Kind = decide.Snapshot
	case 3:
		m.Kind = decide.Cached
	case 2:
		m.Kind = decide.WatchFailed
	default:
		return nil, fmt.Errorf("unknown form %d", form)
	}
	h.endpoints = h.endpoints[:0]
	if list := f.at(4); list != nil {
		lines, err := list.Array()
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			vals, err := line.Array()
			if err != nil {
				return nil, err
			}
			e := &eventValues{values: vals}
			entry := decide.Endpoint{Server: h.serverID(n, e.requiredText(0)), Cell: int32(e.unsigned(2)), StartedAt: relay.Duration(e.float(5)),
				Zone: n.zones[string(e.text(6))]}
			entry.RendezvousKey = h.serverKeys[n.global[entry.Server]]
			switch mode := e.unsigned(1); mode {
			case 0:
				entry.State = decide.Removed
			case 1:
				entry.State = decide.Ready
			case 2:
				entry.State = decide.Draining
			default:
				return nil, fmt.Errorf("unknown mode %d", mode)
			}
			if e.err != nil {
				return nil, fmt.Errorf("entry: %w", e.err)
			}
			h.endpoints = append(h.endpoints, entry)
		}
	}
	m.Endpoints = h.endpoints
	return m, nil
}

func (n *instance) decodeReport(v *fastjson.Value) decide.LoadReport {
	r := decide.NoLoadReport
	if v == nil || v.Type() != fastjson.TypeObject {
		return r
	}
	read := func(name string, to *float64) {
		if x, err := number(v.Get(name)); err == nil && name != "" {
			*to = max(x, 0)
		}
	}
	read(n.loadKey, &r.Load)
	read("rif", &r.InFlight)
	read("fail_rate", &r.ErrorsPerSecond)
	read("busy", &r.CPUUtilization)
	return r
}

func decodeStatus(code uint64) (decide.Status, error) {
	switch code {
	case 200:
		return decide.OK, nil
	case 502:
		return decide.Errored, nil
	case 429:
		return decide.AtCapacity, nil
	case 408:
		return decide.TimedOut, nil
	case 521:
		return decide.ConnectFailed, nil
	case 520:
		return decide.Reset, nil
	case 444:
		return decide.Cancelled, nil
	case 409:
		return decide.Superseded, nil
	}
	return 0, fmt.Errorf("unknown verdict %d", code)
}
