package probing

// Event is an input to a Scheduler.
type Event interface{ event() }

type (
	// ParticipantsChanged is sent when the relays of the view or the servers change. Assignment is the result
	// of Assign for both lists.
	ParticipantsChanged struct {
		Relays      []Relay
		Incarnation uint64 // of this relay
		Servers     []Server
		Assignment  *Assignment
	}
	// OwnReading is a load report that this relay read from a server, for whatever purpose.
	OwnReading struct {
		ServerKey uint64
		LoadReport
	}
	// ReadingsReceived are readings passed on by a peer.
	ReadingsReceived struct {
		From     string
		Readings []Reading
	}
	// Tick lets the Scheduler do what is due at the current time.
	Tick struct{}
)

func (ParticipantsChanged) event() {}
func (OwnReading) event()          {}
func (ReadingsReceived) event()    {}
func (Tick) event()                {}

// Action is an output of a Scheduler for its driver to carry out.
type Action interface{ action() }

type (
	// Probe asks for a probe of a server. The result comes back as an OwnReading.
	Probe struct{ ServerKey uint64 }
	// UseReading is a trusted reading for the decision module.
	UseReading struct{ Reading }
	// SendReadings sends readings to a peer.
	SendReadings struct {
		To       string
		Readings []Reading
	}
	// RelayQuarantined reports, for the log, that a relay's readings are ignored for a while.
	RelayQuarantined struct{ Name string }
)

func (Probe) action()            {}
func (UseReading) action()       {}
func (SendReadings) action()     {}
func (RelayQuarantined) action() {}
