// Package model simulates a fleet on a virtual clock in one goroutine. Many relays run the real decision
// module and, where peering is configured, the real state machines of membership and of shared probing.
// Servers, clients, the discovery service and the network are modelled. All random choices derive from one
// seed. The model counts what all relays did together, which no single relay can observe.
//
// Package model serves tests and experiments only; no relay runs it. docs/design/fleet.md says what is
// modelled and what is left out.
package model
