package xmpp

import "errors"

// condition is a stream error of RFC 6120 by its name; noCondition ends a stream without an error.
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
	resetCondition         condition = "reset" // the client is to open its stream again
	resourceConstraint     condition = "resource-constraint"
	restrictedXML          condition = "restricted-xml"
	unsupportedVersion     condition = "unsupported-version"
)

// streamError is an error in what a peer has sent, for which RFC 6120 has a condition.
type streamError struct{ condition condition }

func (e *streamError) Error() string { return string(e.condition) }

// The scanner's errors.
var (
	errNotWellFormed = &streamError{notWellFormed}
	errRestricted    = &streamError{restrictedXML}
	errTooLarge      = &streamError{policyViolation}
)

// conditionOf tells a streamError from an error of the connection, for which it returns noCondition.
func conditionOf(err error) condition {
	var wrong *streamError
	if errors.As(err, &wrong) {
		return wrong.condition
	}
	return noCondition
}
