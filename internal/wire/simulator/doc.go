// Package simulator implements the simulator's JSON protocol: it converts batches of events into calls of the
// decision module, and the module's actions into replies.
//
// It contains the numbering of servers, requests and instances by their names on the wire, and the mapping of
// the protocol's words in settings, events and actions to the terms of this program (vocabulary.go).
// cmd/adapter passes lines of standard input to a [Hub]. Package lifecycle reads a relay's settings with
// [DecodeSettings], as both have the same format.
//
// The package makes no decisions, reads no clock and starts no goroutine.
package simulator
