// Package drill speaks the bench's JSON dialect: it turns batches of events into calls of the decision
// module and the module's actions into replies. It decides nothing.
package simulator

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// Hub hosts many instances of the module. They share the spelling of backend names and nothing else.
type Hub struct {
	parser      fastjson.Parser
	servers     map[string]int // every backend's name, numbered in the order of first mention in this process
	serverNames []string
	serverKeys  []uint64          // hashes of the names
	instances   map[int]*instance // nil for an instance that was stopped
	actions     []decide.Action
	endpoints   []decide.Endpoint
	reply       []byte
	firstAction bool
}

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

// NewHub returns a Hub without instances.
func NewHub() *Hub {
	return &Hub{servers: map[string]int{}, instances: map[int]*instance{}}
}

// HandleBatch takes one line and returns the reply, newline included; it is valid until the next call. An
// error means that the line is not of the dialect.
func (h *Hub) HandleBatch(line []byte) (reply []byte, err error) {
	top, err := h.parser.ParseBytes(line)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if top.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("a batch must be an object, not %s", top.Type())
	}
	clock, err := number(top.Get("tsMs"))
	if err != nil {
		return nil, fmt.Errorf("tsMs: %w", err)
	}
	list := top.Get("arrivals")
	if list == nil {
		return nil, fmt.Errorf("arrivals are missing")
	}
	arrivals, err := list.Array()
	if err != nil {
		return nil, fmt.Errorf("arrivals: %w", err)
	}
	h.reply = append(h.reply[:0], `{"actions":[`...)
	h.firstAction = true
	for i, ev := range arrivals {
		if err := h.handleEvent(relay.Duration(clock), ev); err != nil {
			return nil, fmt.Errorf("arrival %d: %w", i, err)
		}
	}
	h.reply = append(h.reply, "]}\n"...)
	return h.reply, nil
}

// eventValues reads an event's values by position and remembers the first that is not what it should be.
type eventValues struct {
	values []*fastjson.Value
	err    error
}

func (f *eventValues) at(i int) *fastjson.Value {
	if i >= len(f.values) || f.values[i].Type() == fastjson.TypeNull {
		return nil
	}
	return f.values[i]
}

func (f *eventValues) fail(i int, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("value %d: %w", i, err)
	}
}

func (f *eventValues) float(i int) float64 {
	v := f.at(i)
	if v == nil {
		return 0
	}
	x, err := number(v)
	if err != nil {
		f.fail(i, err)
	}
	return x
}

func (f *eventValues) unsigned(i int) uint64 {
	v := f.at(i)
	if v == nil {
		return 0
	}
	x, err := v.Uint64()
	if err != nil {
		f.fail(i, err)
	}
	return x
}

func (f *eventValues) text(i int) []byte {
	v := f.at(i)
	if v == nil || v.Type() == fastjson.TypeNumber { // an absent tenant may be 0
		return nil
	}
	s, err := v.StringBytes()
	if err != nil {
		f.fail(i, err)
	}
	return s
}

func (f *eventValues) boolean(i int) bool {
	v := f.at(i)
	if v == nil {
		return false
	}
	x, err := v.Bool()
	if err != nil {
		f.fail(i, err)
	}
	return x
}

func (f *eventValues) requiredText(i int) []byte {
	s := f.text(i)
	if len(s) == 0 {
		f.fail(i, fmt.Errorf("a name is missing"))
	}
	return s
}

func number(v *fastjson.Value) (float64, error) {
	if v == nil {
		return 0, fmt.Errorf("a number is missing")
	}
	x, err := v.Float64()
	if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
		err = fmt.Errorf("number out of range")
	}
	return x, err
}

func (h *Hub) handleEvent(now time.Duration, ev *fastjson.Value) error {
	vals, err := ev.Array()
	if err != nil || len(vals) < 2 {
		return fmt.Errorf("an event must be an array of a name and an instance")
	}
	kind, err := vals[0].StringBytes()
	if err != nil {
		return fmt.Errorf("event name: %w", err)
	}
	who, err := vals[1].Int()
	if err != nil {
		return fmt.Errorf("%s: instance: %w", kind, err)
	}
	f := &eventValues{values: vals}
	n, born := h.instances[who]
	switch {
	case string(kind) == "powerOn":
		profile := f.at(3)
		if profile == nil || profile.Type() != fastjson.TypeObject {
			return fmt.Errorf("powerOn: profileData must be an object")
		}
		seed := f.unsigned(2)
		if f.err != nil {
			return fmt.Errorf("powerOn: %w", f.err)
		}
		h.instances[who] = newInstance(who, seed, profile)
		return nil
	case !born:
		return fmt.Errorf("%s: instance %d was never started", kind, who)
	case string(kind) == "crashNow":
		h.instances[who] = nil
		return nil
	}
	event, err := h.decodeEvent(n, string(kind), f)
	if err == nil {
		err = f.err
	}
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	if n != nil && event != nil {
		h.handle(n, now, event)
	}
	return nil
}

// handle lets the module act. A panic there is told to the bench, which ends the day with its text.
func (h *Hub) handle(n *instance, now time.Duration, ev decide.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.beginAction("broken", n.number)
			h.writeString(fmt.Sprint(p))
			h.reply = append(h.reply, ']')
		}
	}()
	h.actions = n.balancer.Handle(now, ev, h.actions[:0])
	for _, a := range h.actions {
		h.writeAction(n, a)
	}
	switch e := ev.(type) {
	case decide.Outcome:
		n.forgetFinished(e.ID)
	case decide.ClientGone:
		n.forgetFinished(e.ID)
	}
}

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

// serverID numbers a name, first for the hub, to hash it once, then for the instance.
func (h *Hub) serverID(n *instance, name []byte) decide.ServerID {
	g, ok := h.servers[string(name)]
	if !ok {
		g = len(h.serverNames)
		h.serverNames = append(h.serverNames, string(name))
		h.servers[h.serverNames[g]] = g
		h.serverKeys = append(h.serverKeys, relay.ServerKey(h.serverNames[g]))
	}
	for g >= len(n.local) {
		n.local = append(n.local, -1)
	}
	if n.local[g] < 0 {
		n.local[g] = decide.ServerID(len(n.global))
		n.global = append(n.global, g)
	}
	return n.local[g]
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

// forgetFinished forgets a request that nobody will name again.
func (n *instance) forgetFinished(id decide.RequestID) {
	if j := n.byID[id]; j != nil && j.finished && j.openAttempts <= 0 {
		delete(n.byID, id)
		delete(n.requests, j.name)
	}
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

func (h *Hub) writeAction(n *instance, a decide.Action) {
	name := func(id decide.RequestID) string {
		if j := n.byID[id]; j != nil {
			return j.name
		}
		return ""
	}
	over := func(id decide.RequestID) {
		if j := n.byID[id]; j != nil {
			j.finished = true
		}
		n.forgetFinished(id)
	}
	switch a := a.(type) {
	case decide.Forward:
		h.beginAction("callOut", n.number)
		h.writeString(name(a.ID))
		h.writeMillis(a.Timeout)
		h.writeString(h.serverNames[n.global[a.Server]])
		n.byID[a.ID].openAttempts++
	case decide.Reject:
		h.beginAction("overloadReply", n.number)
		h.writeString(name(a.ID))
		h.writeMillis(a.RetryAfter)
		over(a.ID)
	case decide.Fail:
		h.beginAction("respondError", n.number)
		h.writeString(name(a.ID))
		over(a.ID)
	case decide.Migrate:
		h.beginAction("redirect", n.number)
		h.writeString(name(a.ID))
		over(a.ID)
	case decide.CancelAttempt:
		h.beginAction("recall", n.number)
		h.writeString(name(a.ID))
		h.writeUint(uint64(a.Attempt))
	case decide.Probe:
		h.beginAction("check", n.number)
		h.writeString(h.serverNames[n.global[a.Server]])
	case decide.CloseIdleConnections:
		h.beginAction("shutIdle", n.number)
		h.writeString(h.serverNames[n.global[a.Server]])
	case decide.Timer:
		h.beginAction("notifyMe", n.number)
		h.writeMillis(a.After)
		h.writeUint(a.Token)
	case decide.Subscribe:
		h.beginAction("observe", n.number)
		h.reply = append(h.reply, ",true"...)
	case decide.FetchSnapshot:
		h.beginAction("readList", n.number)
	case decide.SendToPeer:
		h.beginAction("announce", n.number)
		if a.Peer < 0 {
			h.writeString("all")
		} else {
			h.writeUint(uint64(a.Peer))
		}
		h.writeString(base64.StdEncoding.EncodeToString(a.Data))
	case decide.Log:
		h.beginAction("print", n.number)
		h.writeString(a.Text)
	default:
		panic(fmt.Sprintf("no wire for %T", a))
	}
	h.reply = append(h.reply, ']')
}

func (h *Hub) beginAction(kind string, who int) {
	if !h.firstAction {
		h.reply = append(h.reply, ',')
	}
	h.firstAction = false
	h.reply = append(h.reply, '[', '"')
	h.reply = append(h.reply, kind...)
	h.reply = append(h.reply, '"')
	h.writeUint(uint64(who))
}

func (h *Hub) writeUint(x uint64) { h.reply = strconv.AppendUint(append(h.reply, ','), x, 10) }

// writeMillis writes a duration rounded up to the bench's microseconds, so that no timer comes early.
func (h *Hub) writeMillis(d time.Duration) {
	us := (d + time.Microsecond - 1) / time.Microsecond
	h.reply = strconv.AppendFloat(append(h.reply, ','), float64(us)/1000, 'f', -1, 64)
}

func (h *Hub) writeString(s string) {
	h.reply = append(h.reply, ',', '"')
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' { // names from the wire hardly ever need this
			h.reply = append(h.reply, fmt.Sprintf(`\u%04x`, c)...)
		} else {
			h.reply = append(h.reply, c)
		}
	}
	h.reply = append(h.reply, '"')
}
