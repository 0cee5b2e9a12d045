package simulator

import (
	"fmt"

	"capersail/decide"
)

// This file maps the dialect's words to the field's terms. No other file of the program spells them, but for
// the keys of the settings, whose table stands in settings.go.

// eventKind is the first value of an arrival.
type eventKind string

const (
	eventStart          eventKind = "powerOn"       // an instance starts, with its seed and settings
	eventStop           eventKind = "crashNow"      // it is gone, with all that it knew
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
	actionPanicked      actionKind = "broken"        // the module has panicked
)

// allPeers is what a decide.SendToPeer to everybody names.
const allPeers = "all"

// The forms of an endpoint list.
var watchKinds = map[uint64]decide.WatchKind{
	0: decide.Snapshot,
	2: decide.WatchFailed,
	3: decide.CachedSnapshot,
	4: decide.Delta,
}

// The states of an endpoint.
var endpointStates = map[uint64]decide.EndpointState{
	0: decide.Removed,
	1: decide.Ready,
	2: decide.Draining,
}

// The statuses of attempts and probes.
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
	// attributesReturning: the request has been migrated here, or comes a second time.
	attributesReturning = 2 | 16
)

// The kinds of an eventNote.
const (
	noteLoad  = 1 // an amount of load, in millionths
	noteDelay = 2 // an amount of delay, in ms
)

// The keys of a load report, besides the one that the settings name.
const (
	reportInFlight = "rif"
	reportErrors   = "fail_rate"
	reportCPU      = "busy"
)

// wordError is a word or number of the dialect that this program does not know.
type wordError struct {
	what string // what it was to be
	got  any
}

func (e wordError) Error() string {
	if text, ok := e.got.(string); ok {
		return fmt.Sprintf("unknown %s %q", e.what, text)
	}
	return fmt.Sprintf("unknown %s %v", e.what, e.got)
}

// lookUp finds what a number of the dialect stands for.
func lookUp[T any](table map[uint64]T, what string, number uint64) (T, error) {
	found, known := table[number]
	if !known {
		return found, wordError{what, number}
	}
	return found, nil
}
