// Package model is a fleet on a set clock in one goroutine: many relays, each with the real decision
// module and, where they know each other, the real deciders of membership and of probing, before servers,
// clients, a discovery service and a network that are modelled. Everything is drawn from one seed. It
// counts what all relays did together, which no relay sees.
//
// It serves tests and experiments only; no relay runs it. What is modelled, and what is left out, is in
// docs/design/fleet.md.
package model
