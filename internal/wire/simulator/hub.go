package simulator

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// Hub hosts many instances of the decision module. The instances share only the numbering of server names. A
// Hub must not be used by several goroutines at once.
type Hub struct {
	parser    fastjson.Parser
	instances map[int]*instance // by number; nil for an instance that was stopped
	servers   serverNames
	endpoints []decide.Endpoint // reused by decodeList
	actions   []decide.Action   // reused by handle
	reply     replyWriter
}

// NewHub returns a Hub without instances.
func NewHub() *Hub {
	return &Hub{instances: map[int]*instance{}, servers: serverNames{numbers: map[string]int{}}}
}

// HandleBatch handles one line and returns the reply including its newline; the reply is valid until the next
// call. An error means that the line does not follow the protocol; the events before the malformed one have
// been handled.
func (h *Hub) HandleBatch(line []byte) (reply []byte, err error) {
	batch, err := h.parser.ParseBytes(line)
	if err != nil {
		return nil, fmt.Errorf("batch is not valid JSON: %w", err)
	}
	if batch.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("batch is a JSON %s, want an object", batch.Type())
	}
	clock, err := finiteNumber(batch.Get("tsMs"))
	if err != nil {
		return nil, fmt.Errorf("batch key tsMs: %w", err)
	}
	list := batch.Get("arrivals")
	if list == nil {
		return nil, fmt.Errorf("batch has no key arrivals")
	}
	arrivals, err := list.Array()
	if err != nil {
		return nil, fmt.Errorf("batch key arrivals: %w", err)
	}
	now := relay.DurationFromMillis(clock)
	h.reply.begin()
	for i, arrival := range arrivals {
		if err := h.handleEvent(now, arrival); err != nil {
			return nil, fmt.Errorf("arrival %d: %w", i, err)
		}
	}
	return h.reply.end(), nil
}

// handleEvent handles one arrival: an array of the event's name, the instance's number and values by
// position.
func (h *Hub) handleEvent(now time.Duration, arrival *fastjson.Value) error {
	values, err := arrival.Array()
	if err != nil || len(values) < 2 {
		return fmt.Errorf("event is not an array that begins with a name and an instance number")
	}
	name, err := values[0].StringBytes()
	if err != nil {
		return fmt.Errorf("event name: %w", err)
	}
	kind := eventKind(name)
	number, err := values[1].Int()
	if err != nil {
		return fmt.Errorf("%s: instance number: %w", kind, err)
	}
	v := &eventValues{values: values}
	if kind == eventStart {
		return h.start(number, v)
	}
	inst, started := h.instances[number]
	switch {
	case !started:
		return fmt.Errorf("%s: instance %d has not been started", kind, number)
	case kind == eventStop:
		h.instances[number] = nil
		return nil
	}
	event, err := h.decodeEvent(inst, kind, v)
	if err == nil {
		err = v.err
	}
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	if inst != nil && event != nil {
		h.handle(inst, now, event)
	}
	return nil
}

// start starts an instance, or replaces it by a new one.
func (h *Hub) start(number int, v *eventValues) error {
	settings := v.at(3)
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return fmt.Errorf("%s: value 3 (profileData) must be a JSON object", eventStart)
	}
	seed := v.unsigned(2)
	if v.err != nil {
		return fmt.Errorf("%s: %w", eventStart, v.err)
	}
	h.instances[number] = newInstance(number, seed, settings)
	return nil
}

// handle passes an event to the decision module and writes its actions. A panic of the module is reported to
// the simulator, which ends the simulation with its text.
func (h *Hub) handle(inst *instance, now time.Duration, event decide.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.beginAction(actionPanicked, inst.number)
			h.reply.text(fmt.Sprint(p))
			h.reply.endAction()
		}
	}()
	h.actions = inst.balancer.Handle(now, event, h.actions[:0])
	for _, action := range h.actions {
		h.writeAction(inst, action)
	}
	switch event := event.(type) {
	case decide.Outcome:
		inst.forgetFinished(event.ID)
	case decide.ClientGone:
		inst.forgetFinished(event.ID)
	}
}

// serverNames numbers the names of servers in the order in which they first appear in this process.
type serverNames struct {
	numbers map[string]int
	names   []string
	keys    []uint64 // hashes of the names, for the rendezvous order
}

func (s *serverNames) number(name []byte) int {
	number, known := s.numbers[string(name)]
	if !known {
		number = len(s.names)
		text := string(name)
		s.names = append(s.names, text)
		s.numbers[text] = number
		s.keys = append(s.keys, relay.ServerKey(text))
	}
	return number
}

// serverID returns the instance's number of a server. The hub numbers the name first, so that it is hashed
// only once.
func (h *Hub) serverID(inst *instance, name []byte) decide.ServerID {
	return inst.serverID(h.servers.number(name))
}

// serverName returns the name of an instance's server.
func (h *Hub) serverName(inst *instance, id decide.ServerID) string {
	return h.servers.names[inst.hubNumbers[id]]
}
