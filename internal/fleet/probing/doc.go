// Package probing shares the work of probing servers among the relays of a fleet. It decides which relays
// probe which server, exchanges the readings by gossip, and decides which readings are trusted.
//
// Assign determines the probers of each server. A Scheduler holds one relay's knowledge of the servers'
// loads, from its own probes and from readings passed on by peers, and of the peers whose readings it does
// not trust. Its drivers are the relay's event loop (internal/relay) and internal/simulation/model. It takes
// events and the time as arguments, returns actions, reads no clock and does no I/O. docs/design/fleet.md
// gives the reasons for the design.
//
// All times are durations since an arbitrary origin of this relay's monotonic clock. A reading carries a time
// of its origin's clock only to order the readings of that origin, and to estimate how much longer than
// others it was under way. The clocks of two relays are not compared otherwise.
package probing
