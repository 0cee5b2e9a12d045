package xmpp

import "errors"

// condition is the name of a stream error condition of RFC 6120. noCondition closes a stream without an
// error.
type condition string

const (
	noCondition            condition = ""
	badFormat              condition = "bad-format"
	connectionTimeout      condition = "connection-timeout"
	hostUnknown            condition = "host-unknown"
	invalidNamespace       condition = "invalid-namespace"
	notWellFormed          condition = "not-well-formed"
	policyViolation        condition = "policy-violation"
	remoteConnectionFailed condition = "remote-connection-failed"
	resetCondition         condition = "reset" // the client must open its stream again
	resourceConstraint     condition = "resource-constraint"
	restrictedXML          condition = "restricted-xml"
	unsupportedVersion     condition = "unsupported-version"
)

// streamError is an error in what a peer has sent, with its stream error condition of RFC 6120.
type streamError struct{ condition condition }

func (e *streamError) Error() string { return string(e.condition) }

// The errors of the scanner.
var (
	errNotWellFormed = &streamError{notWellFormed}
	errRestricted    = &streamError{restrictedXML}
	errTooLarge      = &streamError{policyViolation}
	errNoMemory      = &streamError{resourceConstraint}
)

// conditionOf returns the condition of a streamError, and noCondition for any other error.
func conditionOf(err error) condition {
	var streamErr *streamError
	if errors.As(err, &streamErr) {
		return streamErr.condition
	}
	return noCondition
}
