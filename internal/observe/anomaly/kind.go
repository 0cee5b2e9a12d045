package anomaly

import (
	"fmt"
	"time"
)

// Kind is a way to depart from the usual.
type Kind uint8

// The kinds. Their numbers are stored.
const (
	Unresponsive            Kind = iota // answers nothing, without a reset
	Unreachable                         // refuses connections, though the endpoint list has it
	LateProbeReplies                    // answers probes late, with the numbers of before
	FrozenReport                        // its report repeats while connections come and go there
	ErrorBurst                          // a burst of errors
	SlowSetup                           // sets up slower than its peers, and than it used to
	UnannouncedRestart                  // a new process, of which the endpoint list says nothing
	UnannouncedDrain                    // sends its clients away, of which the endpoint list says nothing
	Flapping                            // the endpoint list takes it out and in again
	UnevenLoad                          // loaded far beyond its peers
	RejectingAll                        // listed, but at capacity to whoever comes
	EndpointListUnreachable             // of the fleet: discovery does not answer
	kindCount                           // how many are found here
)

// RelayChanged is of the fleet: another relay has come, failed, left or changed. Membership says so; it is
// not found here.
const RelayChanged = kindCount

// kindInfos has for each kind the name that is shown, and for how long its pattern must be there before its event
// begins, and absent before it ends: an event does not flutter.
var kindInfos = [kindCount + 1]struct {
	name       string
	beginAfter time.Duration
	endAfter   time.Duration
}{
	Unresponsive:            {"silent", 0, 3 * time.Second},
	Unreachable:             {"unreachable", 0, 3 * time.Second},
	LateProbeReplies:        {"late answers", 0, 3 * time.Second},
	FrozenReport:            {"frozen report", 0, 3 * time.Second},
	ErrorBurst:              {"errors", 0, 3 * time.Second},
	SlowSetup:               {"slow", 300 * time.Millisecond, 5 * time.Second},
	UnannouncedRestart:      {"restarted unsaid", 0, 3 * time.Second},
	UnannouncedDrain:        {"drain unsaid", 0, 3 * time.Second},
	Flapping:                {"flapping", 0, 30 * time.Second},
	UnevenLoad:              {"uneven load", 4 * time.Second, 5 * time.Second},
	RejectingAll:            {"refusing", 0, 3 * time.Second},
	EndpointListUnreachable: {"list out of reach", 0, 8 * time.Second},
	RelayChanged:            {name: "relays"},
}

// String names the kind as it is shown.
func (k Kind) String() string {
	if int(k) < len(kindInfos) {
		return kindInfos[k].name
	}
	return fmt.Sprintf("unknown kind %d", uint8(k))
}

// Event is one anomaly of a server. It is a row: its times are Unix times in milliseconds.
type Event struct {
	Server     string  `cbor:"1,keyasint" json:"server"` // "" for the fleet
	Kind       Kind    `cbor:"2,keyasint" json:"-"`
	Name       string  `cbor:"-" json:"event"`
	From       float64 `cbor:"3,keyasint" json:"from"`
	To         float64 `cbor:"4,keyasint" json:"to"` // 0 while it lasts
	Evidence   string  `cbor:"5,keyasint" json:"evidence"`
	Confidence float64 `cbor:"6,keyasint" json:"confidence"` // 0 to 1
}

// Change is an event that has begun, or ended where To is set.
type Change struct{ Event }
