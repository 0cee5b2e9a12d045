package simulator

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
)

// Hub hosts many instances of the decision module. They share the spelling of servers' names and nothing
// else. It is for one goroutine.
type Hub struct {
	parser    fastjson.Parser
	instances map[int]*instance // nil for one that was stopped
	servers   serverNames
	endpoints []decide.Endpoint // reused from list to list
	actions   []decide.Action   // reused from event to event
	reply     replyWriter
}

// NewHub returns a Hub without instances.
func NewHub() *Hub {
	return &Hub{instances: map[int]*instance{}, servers: serverNames{numbers: map[string]int{}}}
}

// HandleBatch takes one line and returns the reply, newline included; it is valid until the next call. An
// error means that the line is not of the dialect; what stood before the fault has been taken in.
func (h *Hub) HandleBatch(line []byte) (reply []byte, err error) {
	batch, err := h.parser.ParseBytes(line)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if batch.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("a batch must be an object, not %s", batch.Type())
	}
	clock, err := finiteNumber(batch.Get("tsMs"))
	if err != nil {
		return nil, fmt.Errorf("tsMs: %w", err)
	}
	list := batch.Get("arrivals")
	if list == nil {
		return nil, fmt.Errorf("arrivals are missing")
	}
	arrivals, err := list.Array()
	if err != nil {
		return nil, fmt.Errorf("arrivals: %w", err)
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

// handleEvent takes one arrival: an array of the event's name, the instance's number and values by position.
func (h *Hub) handleEvent(now time.Duration, arrival *fastjson.Value) error {
	values, err := arrival.Array()
	if err != nil || len(values) < 2 {
		return fmt.Errorf("an event must be an array of a name and an instance")
	}
	name, err := values[0].StringBytes()
	if err != nil {
		return fmt.Errorf("event name: %w", err)
	}
	kind := eventKind(name)
	number, err := values[1].Int()
	if err != nil {
		return fmt.Errorf("%s: instance: %w", kind, err)
	}
	v := &eventValues{values: values}
	if kind == eventStart {
		return h.start(number, v)
	}
	to, started := h.instances[number]
	switch {
	case !started:
		return fmt.Errorf("%s: instance %d was never started", kind, number)
	case kind == eventStop:
		h.instances[number] = nil
		return nil
	}
	event, err := h.decodeEvent(to, kind, v)
	if err == nil {
		err = v.err
	}
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	if to != nil && event != nil {
		h.handle(to, now, event)
	}
	return nil
}

// start begins an instance, or begins it anew.
func (h *Hub) start(number int, v *eventValues) error {
	settings := v.at(3)
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return fmt.Errorf("%s: profileData must be an object", eventStart)
	}
	seed := v.unsigned(2)
	if v.err != nil {
		return fmt.Errorf("%s: %w", eventStart, v.err)
	}
	h.instances[number] = newInstance(number, seed, settings)
	return nil
}

// handle lets the module act. A panic there is told to the simulator, which ends the day with its text.
func (h *Hub) handle(to *instance, now time.Duration, event decide.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.beginAction(actionPanicked, to.number)
			h.reply.text(fmt.Sprint(p))
			h.reply.endAction()
		}
	}()
	h.actions = to.balancer.Handle(now, event, h.actions[:0])
	for _, action := range h.actions {
		h.writeAction(to, action)
	}
	switch event := event.(type) {
	case decide.Outcome:
		to.forgetFinished(event.ID)
	case decide.ClientGone:
		to.forgetFinished(event.ID)
	}
}

// serverNames numbers the servers' names in the order of first mention in this process.
type serverNames struct {
	numbers map[string]int
	names   []string
	keys    []uint64 // of the rendezvous order: hashes of the names
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

// serverID numbers a name, first for the hub, to hash it once, then for the instance.
func (h *Hub) serverID(of *instance, name []byte) decide.ServerID {
	return of.serverID(h.servers.number(name))
}

// serverName is the name of an instance's server.
func (h *Hub) serverName(of *instance, id decide.ServerID) string {
	return h.servers.names[of.hubNumbers[id]]
}
