package probing

// Event is something that a Scheduler has to take in.
type Event interface{ event() }

type (
	// ParticipantsChanged is who takes part, in a view, and which servers there are; Assignment is Assign's
	// of both.
	ParticipantsChanged struct {
		Relays      []Relay
		Incarnation uint64 // this relay's incarnation
		Servers     []Server
		Assignment  *Assignment
	}
	// OwnReading is what this relay read itself, whoever wanted it.
	OwnReading struct {
		ServerKey uint64
		LoadReport
	}
	// ReadingsReceived is what a peer has passed on.
	ReadingsReceived struct {
		From     string
		Readings []Reading
	}
	// Tick says that time has passed.
	Tick struct{}
)

func (ParticipantsChanged) event() {}
func (OwnReading) event()          {}
func (ReadingsReceived) event()    {}
func (Tick) event()                {}

// Action is something a Scheduler wants done.
type Action interface{ action() }

type (
	// Probe wants a server probed; the answer comes as an OwnReading.
	Probe struct{ ServerKey uint64 }
	// UseReading is a reading for the module to decide by.
	UseReading struct{ Reading }
	// SendReadings passes readings on.
	SendReadings struct {
		To       string
		Readings []Reading
	}
	// RelayQuarantined is for the log: a relay's readings are left out for a while.
	RelayQuarantined struct{ Name string }
)

func (Probe) action()            {}
func (UseReading) action()       {}
func (SendReadings) action()     {}
func (RelayQuarantined) action() {}
