package relay

import (
	"hash/fnv"

	"capersail/decide"
)

// Deployment is what a relay is configured with: the decision module's settings, and the numbers that stand
// for names.
type Deployment struct {
	Settings  decide.Settings
	Classes   map[string]decide.Class
	Tenants   map[string]decide.Tenant
	Zones     map[string]decide.Zone
	LoadField string // the report field that tells load over capacity
}

// ServerKey returns the number that stands for a server's id at every relay.
func ServerKey(id string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(id))
	return sum.Sum64()
}
