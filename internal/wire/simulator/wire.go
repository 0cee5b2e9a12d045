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
	parser   fastjson.Parser
	backends map[string]int // every backend's name, numbered in the order of first mention in this process
	names    []string
	spots    []uint64      // hashes of the names
	nodes    map[int]*node // nil for an instance that was stopped
	acts     []decide.Action
	entries  []decide.Entry
	out      []byte
	first    bool
}

// node is one instance with its own numbering of everything, so that its decisions do not depend on
// which other instances this process hosts.
type node struct {
	who     int
	balance *decide.Balancer
	classes map[string]decide.Class
	tenants map[string]decide.Tenant
	zones   map[string]decide.Zone
	loadKey string
	local   []decide.Backend // by the hub's number, -1 if not met
	global  []int            // the hub's number, by local number
	jobs    map[string]*job
	byID    map[decide.RequestID]*job
	lastID  decide.RequestID
}

// job is a request that either side may still name.
type job struct {
	id   decide.RequestID
	name string
	out  int // attempts whose end has not been told
	over bool
}

// NewHub returns a Hub without instances.
func NewHub() *Hub {
	return &Hub{backends: map[string]int{}, nodes: map[int]*node{}}
}

// Batch takes one line and returns the reply, newline included; it is valid until the next call. An
// error means that the line is not of the dialect.
func (h *Hub) Batch(line []byte) (reply []byte, err error) {
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
	h.out = append(h.out[:0], `{"actions":[`...)
	h.first = true
	for i, ev := range arrivals {
		if err := h.event(relay.Duration(clock), ev); err != nil {
			return nil, fmt.Errorf("arrival %d: %w", i, err)
		}
	}
	h.out = append(h.out, "]}\n"...)
	return h.out, nil
}

// fields reads an event's values by position and remembers the first that is not what it should be.
type fields struct {
	vals []*fastjson.Value
	err  error
}

func (f *fields) get(i int) *fastjson.Value {
	if i >= len(f.vals) || f.vals[i].Type() == fastjson.TypeNull {
		return nil
	}
	return f.vals[i]
}

func (f *fields) bad(i int, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("value %d: %w", i, err)
	}
}

func (f *fields) num(i int) float64 {
	v := f.get(i)
	if v == nil {
		return 0
	}
	x, err := number(v)
	if err != nil {
		f.bad(i, err)
	}
	return x
}

func (f *fields) whole(i int) uint64 {
	v := f.get(i)
	if v == nil {
		return 0
	}
	x, err := v.Uint64()
	if err != nil {
		f.bad(i, err)
	}
	return x
}

func (f *fields) text(i int) []byte {
	v := f.get(i)
	if v == nil || v.Type() == fastjson.TypeNumber { // an absent tenant may be 0
		return nil
	}
	s, err := v.StringBytes()
	if err != nil {
		f.bad(i, err)
	}
	return s
}

func (f *fields) flag(i int) bool {
	v := f.get(i)
	if v == nil {
		return false
	}
	x, err := v.Bool()
	if err != nil {
		f.bad(i, err)
	}
	return x
}

func (f *fields) must(i int) []byte {
	s := f.text(i)
	if len(s) == 0 {
		f.bad(i, fmt.Errorf("a name is missing"))
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

func (h *Hub) event(now time.Duration, ev *fastjson.Value) error {
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
	f := &fields{vals: vals}
	n, born := h.nodes[who]
	switch {
	case string(kind) == "powerOn":
		profile := f.get(3)
		if profile == nil || profile.Type() != fastjson.TypeObject {
			return fmt.Errorf("powerOn: profileData must be an object")
		}
		seed := f.whole(2)
		if f.err != nil {
			return fmt.Errorf("powerOn: %w", f.err)
		}
		h.nodes[who] = newNode(who, seed, profile)
		return nil
	case !born:
		return fmt.Errorf("%s: instance %d was never started", kind, who)
	case string(kind) == "crashNow":
		h.nodes[who] = nil
		return nil
	}
	event, err := h.decode(n, string(kind), f)
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
func (h *Hub) handle(n *node, now time.Duration, ev decide.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.open("broken", n.who)
			h.str(fmt.Sprint(p))
			h.out = append(h.out, ']')
		}
	}()
	h.acts = n.balance.Handle(now, ev, h.acts[:0])
	for _, a := range h.acts {
		h.encode(n, a)
	}
	switch e := ev.(type) {
	case decide.Outcome:
		n.settle(e.ID)
	case decide.Gone:
		n.settle(e.ID)
	}
}

// decode builds the module's event; nil stands for one that concerns nothing the instance still knows.
func (h *Hub) decode(n *node, kind string, f *fields) (decide.Event, error) {
	if n == nil { // stopped: whatever is still under way for it is void
		n = &node{jobs: map[string]*job{}}
	}
	switch kind {
	case "registry":
		return h.members(n, f)
	case "newRequest":
		r, err := h.request(n, f, 0)
		if err != nil || r == nil {
			return nil, err
		}
		return *r, nil
	case "inherited":
		r, err := h.request(n, f, 1)
		if err != nil || r == nil {
			return nil, err
		}
		return decide.Inherited{Request: *r, Backend: h.backend(n, f.must(10))}, nil
	case "alarm":
		return decide.Alarm{Token: f.whole(2)}, nil
	case "echo":
		status, err := verdict(f.whole(4))
		return decide.Probed{Took: relay.Duration(f.num(2)), Backend: h.backend(n, f.must(3)), Status: status,
			Report: n.report(f.get(5))}, err
	case "fromPeer":
		data, err := base64.StdEncoding.DecodeString(string(f.text(3)))
		return decide.Peer{From: int(f.whole(2)), Data: data}, err
	}
	var name []byte
	switch kind {
	case "flowing", "interim", "closedAttempt", "dropped":
		name = f.must(2)
	default:
		return nil, fmt.Errorf("unknown event")
	}
	j := n.jobs[string(name)]
	if j == nil {
		j = &job{}
	}
	var ev decide.Event
	switch kind {
	case "flowing":
		ev = decide.Opened{ID: j.id, Attempt: int(f.whole(3)), Backend: h.backend(n, f.must(4)), Took: relay.Duration(f.num(5))}
	case "interim":
		backend, amount := h.backend(n, f.must(3)), f.num(5)
		switch f.whole(6) {
		case 1:
			ev = decide.LoadNote{ID: j.id, Backend: backend, Load: amount / 1e6}
		case 2:
			ev = decide.DelayNote{ID: j.id, Backend: backend, Delay: relay.Duration(amount)}
		}
	case "closedAttempt":
		status, err := verdict(f.whole(4))
		if err != nil {
			return nil, err
		}
		o := decide.Outcome{ID: j.id, Attempt: int(f.whole(3)), Status: status, Backend: h.backend(n, f.must(5)),
			Took: relay.Duration(f.num(6)), Closed: f.flag(7), Report: n.report(f.get(8))}
		j.out--
		j.over = j.over || o.Closed
		ev = o
	case "dropped":
		j.over = true
		ev = decide.Gone{ID: j.id}
	}
	if j.id == 0 {
		return nil, nil
	}
	return ev, nil
}

func (h *Hub) request(n *node, f *fields, out int) (*decide.Request, error) {
	name := string(f.must(2))
	class, ok := n.classes[string(f.text(3))]
	if !ok && n.balance != nil {
		return nil, fmt.Errorf("unknown class %q", f.text(3))
	}
	r := decide.Request{Class: class, Tenant: decide.NoTenant, Key: f.whole(5), Left: relay.Duration(f.num(6)), Group: f.whole(8)}
	if t, ok := n.tenants[string(f.text(4))]; ok {
		r.Tenant = t
	}
	attrs := f.whole(9)
	if attrs&1 != 0 {
		r.Hint = f.num(7)
	}
	r.Returned, r.Flow = attrs&(2|16) != 0, attrs&8 != 0
	if f.err != nil || n.balance == nil {
		return nil, f.err
	}
	n.lastID++
	r.ID = n.lastID
	j := &job{id: r.ID, name: name, out: out}
	n.jobs[name], n.byID[r.ID] = j, j
	return &r, nil
}

func (h *Hub) members(n *node, f *fields) (decide.Event, error) {
	var m decide.Members
	switch form := f.whole(2); form {
	case 4:
		m.Kind = decide.Delta
	case 0:
		m.Kind = decide.Whole
	case 3:
		m.Kind = decide.Cached
	case 2:
		m.Kind = decide.Failed
	default:
		return nil, fmt.Errorf("unknown form %d", form)
	}
	h.entries = h.entries[:0]
	if list := f.get(4); list != nil {
		lines, err := list.Array()
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			vals, err := line.Array()
			if err != nil {
				return nil, err
			}
			e := &fields{vals: vals}
			entry := decide.Entry{Backend: h.backend(n, e.must(0)), Cell: int32(e.whole(2)), Since: relay.Duration(e.num(5)),
				Zone: n.zones[string(e.text(6))]}
			entry.Spot = h.spots[n.global[entry.Backend]]
			switch mode := e.whole(1); mode {
			case 0:
				entry.Mode = decide.GoneMode
			case 1:
				entry.Mode = decide.Ready
			case 2:
				entry.Mode = decide.Draining
			default:
				return nil, fmt.Errorf("unknown mode %d", mode)
			}
			if e.err != nil {
				return nil, fmt.Errorf("entry: %w", e.err)
			}
			h.entries = append(h.entries, entry)
		}
	}
	m.Entries = h.entries
	return m, nil
}

// backend numbers a name, first for the hub, to hash it once, then for the instance.
func (h *Hub) backend(n *node, name []byte) decide.Backend {
	g, ok := h.backends[string(name)]
	if !ok {
		g = len(h.names)
		h.names = append(h.names, string(name))
		h.backends[h.names[g]] = g
		h.spots = append(h.spots, relay.ServerKey(h.names[g]))
	}
	for g >= len(n.local) {
		n.local = append(n.local, -1)
	}
	if n.local[g] < 0 {
		n.local[g] = decide.Backend(len(n.global))
		n.global = append(n.global, g)
	}
	return n.local[g]
}

func (n *node) report(v *fastjson.Value) decide.Report {
	r := decide.NoReport
	if v == nil || v.Type() != fastjson.TypeObject {
		return r
	}
	read := func(name string, to *float64) {
		if x, err := number(v.Get(name)); err == nil && name != "" {
			*to = max(x, 0)
		}
	}
	read(n.loadKey, &r.Load)
	read("rif", &r.Inflight)
	read("fail_rate", &r.Errors)
	read("busy", &r.Busy)
	return r
}

// settle forgets a request that nobody will name again.
func (n *node) settle(id decide.RequestID) {
	if j := n.byID[id]; j != nil && j.over && j.out <= 0 {
		delete(n.byID, id)
		delete(n.jobs, j.name)
	}
}

func verdict(code uint64) (decide.Status, error) {
	switch code {
	case 200:
		return decide.OK, nil
	case 502:
		return decide.Errored, nil
	case 429:
		return decide.Full, nil
	case 408:
		return decide.TimedOut, nil
	case 521:
		return decide.ConnectFailed, nil
	case 520:
		return decide.Reset, nil
	case 444:
		return decide.Cancelled, nil
	case 409:
		return decide.Moot, nil
	}
	return 0, fmt.Errorf("unknown verdict %d", code)
}

func (h *Hub) encode(n *node, a decide.Action) {
	name := func(id decide.RequestID) string {
		if j := n.byID[id]; j != nil {
			return j.name
		}
		return ""
	}
	over := func(id decide.RequestID) {
		if j := n.byID[id]; j != nil {
			j.over = true
		}
		n.settle(id)
	}
	switch a := a.(type) {
	case decide.Send:
		h.open("callOut", n.who)
		h.str(name(a.ID))
		h.ms(a.Timeout)
		h.str(h.names[n.global[a.Backend]])
		n.byID[a.ID].out++
	case decide.Refuse:
		h.open("overloadReply", n.who)
		h.str(name(a.ID))
		h.ms(a.RetryAfter)
		over(a.ID)
	case decide.Fail:
		h.open("respondError", n.who)
		h.str(name(a.ID))
		over(a.ID)
	case decide.Move:
		h.open("redirect", n.who)
		h.str(name(a.ID))
		over(a.ID)
	case decide.Cancel:
		h.open("recall", n.who)
		h.str(name(a.ID))
		h.int(uint64(a.Attempt))
	case decide.Probe:
		h.open("check", n.who)
		h.str(h.names[n.global[a.Backend]])
	case decide.CloseIdle:
		h.open("shutIdle", n.who)
		h.str(h.names[n.global[a.Backend]])
	case decide.Timer:
		h.open("notifyMe", n.who)
		h.ms(a.After)
		h.int(a.Token)
	case decide.Subscribe:
		h.open("observe", n.who)
		h.out = append(h.out, ",true"...)
	case decide.Fetch:
		h.open("readList", n.who)
	case decide.Tell:
		h.open("announce", n.who)
		if a.Peer < 0 {
			h.str("all")
		} else {
			h.int(uint64(a.Peer))
		}
		h.str(base64.StdEncoding.EncodeToString(a.Data))
	case decide.Log:
		h.open("print", n.who)
		h.str(a.Text)
	default:
		panic(fmt.Sprintf("no wire for %T", a))
	}
	h.out = append(h.out, ']')
}

func (h *Hub) open(kind string, who int) {
	if !h.first {
		h.out = append(h.out, ',')
	}
	h.first = false
	h.out = append(h.out, '[', '"')
	h.out = append(h.out, kind...)
	h.out = append(h.out, '"')
	h.int(uint64(who))
}

func (h *Hub) int(x uint64) { h.out = strconv.AppendUint(append(h.out, ','), x, 10) }

// ms writes a duration rounded up to the bench's microseconds, so that no timer comes early.
func (h *Hub) ms(d time.Duration) {
	us := (d + time.Microsecond - 1) / time.Microsecond
	h.out = strconv.AppendFloat(append(h.out, ','), float64(us)/1000, 'f', -1, 64)
}

func (h *Hub) str(s string) {
	h.out = append(h.out, ',', '"')
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' { // names from the wire hardly ever need this
			h.out = append(h.out, fmt.Sprintf(`\u%04x`, c)...)
		} else {
			h.out = append(h.out, c)
		}
	}
	h.out = append(h.out, '"')
}
