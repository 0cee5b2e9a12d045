package decide

// quotaCapacityShare is the fraction, 0 to 1, of all servers' capacity that the sum of the tenants' quotas is
// assumed to use.
const quotaCapacityShare = 0.8

// quota estimates the load that a connection adds to a server, from the tenants' connection quotas.
type quota struct {
	totalConnections float64 // sum of the tenants' quotas, 0 if the settings have none
	maxListedServers int     // most servers listed at once: a crash must not reduce the estimate
}

func newQuota(tenants []TenantInfo) quota {
	q := quota{}
	for _, t := range tenants {
		q.totalConnections += t.ConnectionQuota
	}
	return q
}

// loadPerConnection is the estimated load of a connection as a fraction of a server's capacity, 0 if the
// settings have no quotas.
func (q *quota) loadPerConnection(listed int) float64 {
	q.maxListedServers = max(q.maxListedServers, listed)
	if q.totalConnections == 0 {
		return 0
	}
	return quotaCapacityShare * float64(q.maxListedServers) / q.totalConnections
}
