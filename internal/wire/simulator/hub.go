// Package simulator speaks the bench's JSON dialect: it turns batches of events into calls of the decision
// module and the module's actions into replies. It decides nothing.
package simulator

import (
	"fmt"
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
