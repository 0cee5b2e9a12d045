package decide

// quotaCapacityShare is the part of all servers' capacity that the tenants' quotas add up to, 0 to 1.
const quotaCapacityShare = 0.8

// quota estimates what a connection adds to a server's load by what the tenants may hold together.
type quota struct {
	totalConnections float64 // of all tenants within their quotas, 0 if the settings have none
	maxListed        int     // servers listed at once so far: a quota does not shrink with a crash
}

func newQuota(tenants []TenantInfo) quota {
	q := quota{}
	for _, t := range tenants {
		q.totalConnections += t.ConnectionQuota
	}
	return q
}

// loadPerConnection is what a connection adds, as a part of a server's capacity, 0 where the settings have
// no quotas.
func (q *quota) loadPerConnection(listed int) float64 {
	q.maxListed = max(q.maxListed, listed)
	if q.totalConnections == 0 {
		return 0
	}
	return quotaCapacityShare * float64(q.maxListed) / q.totalConnections
}
