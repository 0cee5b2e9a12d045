package relay

import (
	"hash/fnv"

	"capersail/decide"
)

// Deployment is the configuration of a relay: the settings of the decision module, and the numbers that the
// module uses in place of names.
type Deployment struct {
	Settings  decide.Settings
	Classes   map[string]decide.Class
	Tenants   map[string]decide.Tenant
	Zones     map[string]decide.Zone
	LoadField string // field of a load report that contains load divided by capacity
}

// ServerKey returns the key of a server: a hash of its id, which is the same at every relay.
func ServerKey(id string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(id))
	return sum.Sum64()
}
