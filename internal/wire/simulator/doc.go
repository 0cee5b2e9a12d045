// Package simulator speaks the simulator's JSON dialect: it turns batches of events into calls of the
// decision module and the module's actions into replies.
//
// It owns the numbering of servers, requests and instances by the names on the wire, and the mapping of the
// dialect's words, in the settings, the events and the actions, to the field's terms (vocabulary.go).
// cmd/adapter drives a [Hub] with lines of standard input; the lifecycle package reads a relay's settings by
// [DecodeSettings], as both share their form.
//
// It decides nothing, reads no clock and starts no goroutine.
package simulator
