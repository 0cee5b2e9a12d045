package anomaly

import (
	"fmt"
	"time"
)

// Kind is a kind of anomaly.
type Kind uint8

// The kinds of anomaly. Their numbers are stored.
const (
	Unresponsive            Kind = iota // does not answer, and does not reset the connection
	Unreachable                         // refuses connections although the endpoint list has it as ready
	LateProbeReplies                    // answers probes late, with outdated load reports
	FrozenReport                        // repeats the same load report while its connections come and go
	ErrorBurst                          // a burst of errors
	SlowSetup                           // sets up connections slower than its peers and than its own past
	UnannouncedRestart                  // runs as a new process that the endpoint list does not show
	UnannouncedDrain                    // ends client connections although the endpoint list has it as ready
	Flapping                            // is removed from the endpoint list and added back repeatedly
	UnevenLoad                          // has a load far above that of its peers
	RejectingAll                        // ready in the endpoint list, but rejects all requests
	EndpointListUnreachable             // fleet event: discovery does not answer
	kindCount                           // number of kinds that the Detector detects
)

// RelayChanged is a fleet event: another relay has joined, failed, left or changed. Membership reports it;
// the Detector does not detect it.
const RelayChanged = kindCount

// kindInfos holds for each kind its display name, how long its pattern must be present before the event
// begins, and how long it must be absent before the event ends. The delays keep an event from toggling.
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

// String returns the display name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindInfos) {
		return kindInfos[k].name
	}
	return fmt.Sprintf("unknown kind %d", uint8(k))
}

// Event is one anomaly of a server or of the fleet. It is stored as a row: its times are Unix times in
// milliseconds.
type Event struct {
	Server     string  `cbor:"1,keyasint" json:"server"` // "" for the fleet
	Kind       Kind    `cbor:"2,keyasint" json:"-"`
	Name       string  `cbor:"-" json:"event"`
	From       float64 `cbor:"3,keyasint" json:"from"`
	To         float64 `cbor:"4,keyasint" json:"to"` // 0 while it lasts
	Evidence   string  `cbor:"5,keyasint" json:"evidence"`
	Confidence float64 `cbor:"6,keyasint" json:"confidence"` // 0 to 1
}

// Change is an event that has begun or, if To is set, ended.
type Change struct{ Event }
