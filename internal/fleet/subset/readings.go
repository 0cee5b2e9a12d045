package subset

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// All times are milliseconds of this relay's monotonic clock. A reading carries its origin's own clock only to tell which
// of two is newer, and how much later than others of that origin it came; no two relays' clocks are compared otherwise.
const (
	// LookEvery is the least time between two looks of a relay at one server. Lookers/LookEvery = 2 a second is the most that
	// a server is looked at by turns, whatever becomes of the words between relays.
	LookEvery = 1500.0
	// Turn is how old a server's newest reading is when the next looker's turn comes.
	Turn = LookEvery / Lookers
	// UsableFor is how old a reading may be: a report is renewed within 1.4 s and read within 0.5 s of its turn, and word of it
	// takes up to five rounds of TellEvery.
	UsableFor = 2000.0
	// TellEvery is the time between two rounds of word: of 300 relays each hears what three pass on within five rounds.
	TellEvery = 150.0
	// TellTo is how many peers a round goes to.
	TellTo = 3
	// TellMost is how many readings a round carries: so that they fit one packet.
	TellMost = 36
	// passes is how many rounds carry one reading: enough for it to come round, few enough that the newest go first.
	passes = 3
	// Near and NearPart say how far two readings of one server may lie apart and still bear each other out: reports are noisy
	// by up to 7%, and a server takes several connections between two looks.
	Near, NearPart = 0.2, 0.2
	// strikesOut is how many readings that two others contradict make a relay doubted, for doubtFor; two that are borne out
	// take one strike back, as one that always tells the same is right now and then.
	strikesOut = 4.0
	doubtFor   = 30_000.0
	// Parting is by how much the clocks of two relays may part in a time, one 5% fast and one 5% slow.
	Parting = 1.05/0.95 - 1
)

// Load is what a server's report says. A field that did not come is negative.
type Load struct {
	Load, Inflight, Errors, Busy float64
}

// Reading is what one relay read at one server.
type Reading struct {
	Spot    uint64 // the server
	Started int64  // of the server's process, as the origin's list has it
	By      string // the origin, who read it
	Life    uint64 // the origin's incarnation
	At      float64
	// Age is in ms, as whoever passes the reading on reckons it.
	Age float64
	Load
}

// Event is something a Keeper is told.
type Event interface{ event() }

type (
	// Fleet is who takes part, in a view; Table is Assign's of it and of the Servers told last.
	Fleet struct {
		Relays  []Relay
		Life    uint64 // this relay's incarnation
		Servers []Server
		Table   *Table
	}
	// Read is what this relay read itself, whoever wanted it.
	Read struct {
		Spot uint64
		Load
	}
	// Heard is what a peer has passed on.
	Heard struct {
		From     string
		Readings []Reading
	}
	// Tick says that time has passed.
	Tick struct{}
)

func (Fleet) event() {}
func (Read) event()  {}
func (Heard) event() {}
func (Tick) event()  {}

// Action is something a Keeper wants done.
type Action interface{ action() }

type (
	// Look wants a server read; the answer comes as a Read.
	Look struct{ Spot uint64 }
	// Believe is a reading to decide by.
	Believe struct{ Reading }
	// Tell passes readings on.
	Tell struct {
		To       string
		Readings []Reading
	}
	// Doubt is for people: a relay's readings are left out for a while.
	Doubt struct{ Name string }
)

func (Look) action()    {}
func (Believe) action() {}
func (Tell) action()    {}
func (Doubt) action()   {}

// Dropped are the reasons for which readings are left out.
const (
	TooOld     = "too old"
	Impossible = "impossible"
	Unknown    = "unknown server or relay"
	OtherLife  = "another process of the server"
	Doubted    = "of a doubted relay"
	Alone      = "not borne out"
	Nothing    = "without a load"
)

// held is a reading as it is kept: taken is when it was read, by this relay's clock.
type held struct {
	Reading
	taken  float64
	told   int  // rounds that have carried it
	judged bool // it has been borne out or contradicted
}

// server is what is known of one.
type server struct {
	Server
	place    int
	rank     int // this relay's among the lookers, negative if it is none
	looked   float64
	newest   []*held // one of each origin, the youngest first
	believed float64 // when the reading believed last was taken
	by       string  // and whose it was
}

// origin is what is known of a relay's word.
type origin struct {
	life    uint64
	offset  float64 // own clock less the origin's, by its quickest word; +Inf before any
	at      float64 // when that came
	rows    Window  // of its placements
	strikes float64
	till    float64 // doubted until then
}

// Keeper is one relay's part in looking at servers by turns. It is not safe for concurrent use.
type Keeper struct {
	me      string
	rng     *rand.Rand
	life    uint64
	servers map[uint64]*server
	list    []*server
	relays  map[string]*origin
	names   []string // of the others
	tellAt  float64
	own     map[uint64]int // connections sent to servers since the last round, less those that ended
	rows    []row          // placements that are still passed on
	seq     uint64
	trust   bool // in tests only: all that is told is believed
	dropped map[string]uint64
	looks   uint64
	taken   uint64
	out     []Action
	now     float64
}

// New returns the Keeper of a relay that starts.
func New(me string, seed uint64) *Keeper {
	return &Keeper{me: me, rng: rand.New(rand.NewPCG(seed, 0x737562736574)), servers: map[uint64]*server{}, relays: map[string]*origin{}, own: map[uint64]int{}, dropped: map[string]uint64{}}
}

// On tells whether there is anybody to share with.
func (k *Keeper) On() bool { return len(k.names) > 0 }

// Handle takes one event and appends what is to be done about it to out.
func (k *Keeper) Handle(now float64, ev Event, out []Action) []Action {
	k.now, k.out = max(now, k.now), out
	switch e := ev.(type) {
	case Fleet:
		k.fleet(e)
	case Read:
		k.read(e)
	case Heard:
		if k.relays[e.From] == nil {
			k.dropped[Unknown] += uint64(len(e.Readings))
			break
		}
		for _, r := range e.Readings {
			if why := k.hear(r); why != "" {
				k.dropped[why]++
			}
		}
	case Sent:
		k.placedHere(e)
	case HeardPlaced:
		for _, p := range e.Rows {
			if why := k.hearPlaced(p); why != "" {
				k.dropped[why]++
			}
		}
	case Tick:
		if k.On() {
			k.turns()
			k.tell()
		}
	}
	return k.out
}

func (k *Keeper) do(a Action) { k.out = append(k.out, a) }

// fleet takes up who takes part and which servers there are. What is known of a server lives on while its process does.
func (k *Keeper) fleet(e Fleet) {
	k.life = e.Life
	relays := map[string]*origin{}
	k.names = k.names[:0]
	for _, r := range e.Relays {
		if r.Name == k.me {
			continue
		}
		o := k.relays[r.Name]
		if o == nil {
			o = &origin{offset: math.Inf(1), till: math.Inf(-1)}
		}
		relays[r.Name] = o
		k.names = append(k.names, r.Name)
	}
	k.relays = relays
	old := k.servers
	k.servers, k.list = make(map[uint64]*server, len(e.Servers)), k.list[:0]
	for i, s := range e.Servers {
		n := old[s.Spot]
		if n == nil || n.Started != s.Started {
			n = &server{looked: math.Inf(-1), believed: math.Inf(-1)}
		}
		n.Server, n.place, n.rank = s, i, e.Table.rank(i, k.me)
		k.servers[s.Spot] = n
		k.list = append(k.list, n)
	}
}

// read notes this relay's own reading: it is believed by whoever wanted it, and passed on. A report that tells no load, as a
// server's first may, is none: it contradicted those that came after it, and honest relays were doubted for it.
func (k *Keeper) read(e Read) {
	s := k.servers[e.Spot]
	if s == nil {
		return
	}
	if s.looked = k.now; max(e.Load.Load, e.Busy) < 0 {
		return
	}
	s.note(&held{Reading: Reading{Spot: s.Spot, Started: s.Started, By: k.me, Life: k.life, At: k.now, Load: e.Load}, taken: k.now})
	s.believed, s.by = k.now, k.me
}

// note keeps a reading if it is the newest of its origin, and tells whether it was.
func (s *server) note(h *held) bool {
	i := slices.IndexFunc(s.newest, func(o *held) bool { return o.By == h.By })
	if i >= 0 {
		if o := s.newest[i]; o.Life > h.Life || o.Life == h.Life && o.At >= h.At {
			return false
		}
		s.newest = slices.Delete(s.newest, i, i+1)
	}
	s.newest = append(s.newest, h)
	slices.SortStableFunc(s.newest, func(a, b *held) int { return cmp.Compare(b.taken, a.taken) })
	s.newest = s.newest[:min(len(s.newest), 2*Lookers)]
	return true
}

// age is how old a reading is: what it says, or more where it came later than others of its origin have. The quickest word
// counts for less the longer ago it was, as far as two clocks can part: with a window of 8 s instead, a slow clock's
// readings were taken for up to 1.6 s older than they were, and the more the longer its origin had said nothing.
func (k *Keeper) age(o *origin, r Reading) float64 {
	if o.life != r.Life {
		o.life, o.offset = r.Life, math.Inf(1)
	}
	offset, quickest := k.now-r.At, o.offset+Parting*(k.now-o.at)
	if offset-r.Age <= quickest {
		o.offset, o.at = offset-r.Age, k.now
		return r.Age
	}
	return offset - quickest
}

// hear weighs a reading that a peer has passed on. It returns why it is left out.
func (k *Keeper) hear(r Reading) string {
	s, o := k.servers[r.Spot], k.relays[r.By]
	switch {
	case r.By == k.me:
		return ""
	case s == nil || o == nil:
		return Unknown
	case !possible(r):
		return Impossible
	case worth(r) < 0:
		return Nothing
	case r.Started != s.Started:
		return OtherLife
	case r.Life < o.life:
		return TooOld
	}
	age := k.age(o, r)
	h := &held{Reading: r, taken: k.now - age}
	switch {
	case age > UsableFor:
		return TooOld
	case !s.note(h): // it has come before
		return ""
	}
	k.taken++
	b := k.weigh(s, h)
	k.judge(s)
	if !k.trust && k.doubts(r.By) {
		s.newest = slices.DeleteFunc(s.newest, func(x *held) bool { return x == h })
		return Doubted
	}
	if b == nil {
		return Alone
	}
	if b.taken > s.believed {
		s.believed, s.by = b.taken, b.By
		believed := b.Reading
		believed.Age = k.now - b.taken
		k.do(Believe{believed})
	}
	return ""
}

// possible tells whether a server could have reported this.
func possible(r Reading) bool {
	for _, x := range []float64{r.Load.Load, r.Inflight, r.Errors, r.Busy} {
		if math.IsNaN(x) || x < -1 || x > 1e6 {
			return false
		}
	}
	return r.Age >= 0 && !math.IsNaN(r.At) && r.Load.Load < 1000
}

// weigh says which reading to decide by now that h has come: h itself where another origin bears it out, else the median
// of the newest three, else none. One relay alone is believed by nobody, so one that tells nonsense can neither empty nor
// flood a server.
func (k *Keeper) weigh(s *server, h *held) *held {
	if k.trust {
		return h
	}
	var others []*held
	for _, o := range s.newest {
		if o.By != h.By && k.now-o.taken <= UsableFor+Turn && !k.doubts(o.By) {
			others = append(others, o)
		}
	}
	for _, o := range others {
		if near(h.Reading, o.Reading) {
			return h
		}
	}
	if len(others) < 2 {
		return nil
	}
	three := []*held{h, others[0], others[1]}
	slices.SortFunc(three, func(a, b *held) int { return cmp.Compare(worth(a.Reading), worth(b.Reading)) })
	return three[1]
}

func (k *Keeper) doubts(name string) bool {
	o := k.relays[name]
	return o != nil && k.now < o.till
}

// judge looks at readings that have one of another origin on either side in time, and no more than a step of a load can come
// between: where those two agree with each other and not with it, its origin has told nonsense. A reading that only older
// ones contradict may be the first to see a load change: when all relays had restarted honest ones were doubted for that.
func (k *Keeper) judge(s *server) {
	for i := 1; i < len(s.newest)-1; i++ { // the youngest come first
		after, h, before := s.newest[i-1], s.newest[i], s.newest[i+1]
		o := k.relays[h.By]
		if h.judged || o == nil || k.doubts(after.By) || k.doubts(before.By) || after.taken-before.taken > UsableFor+Turn {
			continue
		}
		switch h.judged = true; {
		case near(h.Reading, after.Reading) || near(h.Reading, before.Reading):
			o.strikes = max(o.strikes-0.5, 0)
		case near(after.Reading, before.Reading):
			if o.strikes++; o.strikes >= strikesOut && k.now >= o.till {
				o.till, o.strikes = k.now+doubtFor, 0
				k.do(Doubt{Name: h.By})
			}
		}
	}
}

// worth is what placements go by.
func worth(r Reading) float64 { return max(r.Load.Load, r.Busy) }

func near(a, b Reading) bool {
	x, y := worth(a), worth(b)
	return math.Abs(x-y) <= Near+NearPart*max(x, y, 0)
}

// turns looks at the servers whose turn it is. Lookers take turns without a word about it: each waits until the newest
// reading is so old, those of a lower rank a little longer, and looks again no sooner than after LookEvery.
func (k *Keeper) turns() {
	for _, s := range k.list {
		if s.rank < 0 || k.now < s.looked+LookEvery {
			continue
		}
		newest := math.Inf(-1)
		for _, h := range s.newest {
			newest = max(newest, h.taken)
		}
		if k.now >= newest+Turn+TellEvery*float64(s.rank) || k.now >= s.looked+2*LookEvery {
			s.looked = k.now
			k.looks++
			k.do(Look{Spot: s.Spot})
		}
	}
}

// tell passes the newest readings on to some peers drawn at random.
func (k *Keeper) tell() {
	if k.now < k.tellAt {
		return
	}
	k.tellAt = k.now + TellEvery*(0.9+0.2*k.rng.Float64())
	var news []*held
	for _, s := range k.list {
		for _, h := range s.newest {
			if h.told < passes && k.now-h.taken < UsableFor {
				news = append(news, h)
			}
		}
	}
	slices.SortStableFunc(news, func(a, b *held) int { return cmp.Or(cmp.Compare(a.told, b.told), cmp.Compare(b.taken, a.taken)) })
	news = news[:min(len(news), TellMost)]
	batch := make([]Reading, len(news))
	for i, h := range news {
		h.told++
		batch[i] = h.Reading
		batch[i].Age = k.now - h.taken
	}
	rows := k.tellPlaced()
	for i := range min(TellTo, len(k.names)) {
		j := i + k.rng.IntN(len(k.names)-i)
		k.names[i], k.names[j] = k.names[j], k.names[i]
		if len(batch) > 0 {
			k.do(Tell{To: k.names[i], Readings: batch})
		}
		if len(rows) > 0 {
			k.do(TellPlaced{To: k.names[i], Rows: rows})
		}
	}
}

// Report is what is known of the looks, for people.
type Report struct {
	Relays  int               `json:"relays"` // that share, this one too
	Looks   uint64            `json:"looks"`  // made by turns
	Taken   uint64            `json:"taken"`  // readings of others that were new here
	Doubted []string          `json:"doubted"`
	Dropped map[string]uint64 `json:"dropped"`
	Servers []Row             `json:"servers"`
}

// Row is one server in a Report.
type Row struct {
	Spot  uint64  `json:"spot"`
	ID    string  `json:"id"` // its driver's to fill in
	Zone  string  `json:"zone"`
	Mine  bool    `json:"mine"` // this relay is one of its lookers
	Rank  int     `json:"rank"` // its place among them
	Load  float64 `json:"load"` // as believed, negative for unknown
	AgeMs float64 `json:"age_ms"`
	By    string  `json:"by"` // whose reading that is, "" for none
}

// Report tells what the Keeper knows.
func (k *Keeper) Report(now float64) Report {
	out := Report{Relays: len(k.names) + 1, Looks: k.looks, Taken: k.taken, Dropped: map[string]uint64{}}
	for why, n := range k.dropped {
		out.Dropped[why] = n
	}
	for name, o := range k.relays {
		if now < o.till {
			out.Doubted = append(out.Doubted, name)
		}
	}
	slices.Sort(out.Doubted)
	for _, s := range k.list {
		row := Row{Spot: s.Spot, Zone: s.Zone, Mine: s.rank >= 0, Rank: s.rank, Load: -1, By: s.by}
		if row.AgeMs = now - s.believed; math.IsInf(s.believed, -1) {
			row.AgeMs = -1
		}
		for _, h := range s.newest {
			if h.By == s.by {
				row.Load = worth(h.Reading)
			}
		}
		out.Servers = append(out.Servers, row)
	}
	return out
}
