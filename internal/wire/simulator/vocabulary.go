package simulator

import (
	"fmt"

	"capersail/decide"
)

// This file maps the words of the simulator's protocol to the terms of this program. Only the keys of the
// settings are elsewhere: settings.go has their table.

// eventKind is the first value of an arrival.
type eventKind string

const (
	eventStart          eventKind = "powerOn"       // start an instance with a seed and settings
	eventStop           eventKind = "crashNow"      // stop an instance and drop its state
	eventEndpointList   eventKind = "registry"      // decide.WatchEvent
	eventRequest        eventKind = "newRequest"    // decide.Request
	eventInherited      eventKind = "inherited"     // decide.Inherited
	eventTimer          eventKind = "alarm"         // decide.TimerFired
	eventProbeResult    eventKind = "echo"          // decide.ProbeResult
	eventPeerMessage    eventKind = "fromPeer"      // decide.PeerMessage
	eventOpened         eventKind = "flowing"       // decide.Opened
	eventNote           eventKind = "interim"       // decide.ConnectionLoad or decide.MessageDelay
	eventAttemptOutcome eventKind = "closedAttempt" // decide.Outcome
	eventClientGone     eventKind = "dropped"       // decide.ClientGone
)

// actionKind is the first value of an action in a reply.
type actionKind string

const (
	actionForward       actionKind = "callOut"       // decide.Forward
	actionReject        actionKind = "overloadReply" // decide.Reject
	actionFail          actionKind = "respondError"  // decide.Fail
	actionMigrate       actionKind = "redirect"      // decide.Migrate
	actionCancelAttempt actionKind = "recall"        // decide.CancelAttempt
	actionProbe         actionKind = "check"         // decide.Probe
	actionCloseIdle     actionKind = "shutIdle"      // decide.CloseIdleConnections
	actionTimer         actionKind = "notifyMe"      // decide.Timer
	actionSubscribe     actionKind = "observe"       // decide.Subscribe
	actionFetchSnapshot actionKind = "readList"      // decide.FetchSnapshot
	actionSendToPeer    actionKind = "announce"      // decide.SendToPeer
	actionLog           actionKind = "print"         // decide.Log
	actionPanicked      actionKind = "broken"        // the decision module panicked
)

// allPeers is the peer of a decide.SendToPeer that is addressed to all peers.
const allPeers = "all"

// watchKinds maps the kinds of endpoint lists.
var watchKinds = map[uint64]decide.WatchKind{
	0: decide.Snapshot,
	2: decide.WatchFailed,
	3: decide.CachedSnapshot,
	4: decide.Delta,
}

// endpointStates maps the states of endpoints.
var endpointStates = map[uint64]decide.EndpointState{
	0: decide.Removed,
	1: decide.Ready,
	2: decide.Draining,
}

// statuses maps the statuses of attempts and probes.
var statuses = map[uint64]decide.Status{
	200: decide.OK,
	408: decide.TimedOut,
	409: decide.Superseded,
	429: decide.AtCapacity,
	444: decide.Cancelled,
	502: decide.Errored,
	520: decide.Reset,
	521: decide.ConnectFailed,
}

// The bits of a request's attributes.
const (
	attributeLoadHint = 1
	attributeFlow     = 8
	// attributesReturning are the bits of a request that was migrated here or is sent a second time.
	attributesReturning = 2 | 16
)

// The kinds of an eventNote.
const (
	noteLoad  = 1 // load, in millionths
	noteDelay = 2 // delay, in ms
)

// The keys of a load report, besides the load field, which the settings name.
const (
	reportInFlight = "rif"
	reportErrors   = "fail_rate"
	reportCPU      = "busy"
)

// unknownWordError is the error of a word or number of the protocol that this program does not know.
type unknownWordError struct {
	what  string // what the word should denote, such as "event"
	value any    // the word or number received
}

func (e unknownWordError) Error() string {
	if text, ok := e.value.(string); ok {
		return fmt.Sprintf("unknown %s %q", e.what, text)
	}
	return fmt.Sprintf("unknown %s %v", e.what, e.value)
}

// lookUp returns the meaning of a number of the protocol. what names the kind of number in the error.
func lookUp[T any](table map[uint64]T, what string, number uint64) (T, error) {
	found, known := table[number]
	if !known {
		return found, unknownWordError{what, number}
	}
	return found, nil
}
