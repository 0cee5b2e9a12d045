package lifecycle

import "time"

const (
	// migrationDelay is the time from the start of a manual drain to its first migration. New connections
	// still arrive until 0.2 s after the first PING that is answered as not ready; they are migrated as
	// soon as they are established.
	migrationDelay = 300 * time.Millisecond
	// migrationDeadline is the time from the start of a manual drain to its last migration. A connection
	// that is still open at 4 s counts as lost.
	migrationDeadline = 2500 * time.Millisecond
)

// Drain starts or ends a manual drain. It has no effect if the drain has been started or ended already.
func (a *adminRelay) Drain(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case on && a.stopMigration == nil:
		a.stopMigration = make(chan struct{})
		for _, front := range a.fronts {
			front.requests.SetDraining(true)
		}
		go a.migrateConnections(a.stopMigration)
	case !on && a.stopMigration != nil:
		close(a.stopMigration)
		a.stopMigration = nil
		for _, front := range a.fronts {
			front.requests.SetDraining(false)
		}
	}
}

// migrateConnections migrates all open connections, spread evenly between migrationDelay and
// migrationDeadline. It returns early if stop is closed, because the drain has ended.
func (a *adminRelay) migrateConnections(stop <-chan struct{}) {
	if len(a.fronts) == 0 {
		return
	}
	clock := a.fronts[0].requests.Clock
	began := clock.Now()
	all := make([]int, len(a.fronts))
	for i, front := range a.fronts {
		all[i] = front.requests.MigrateClients(0)
	}
	for {
		select {
		case <-stop:
			return
		case <-clock.After(migrationInterval):
		}
		since, left := clock.Now()-began, 0
		for i, front := range a.fronts {
			surplus := front.requests.MigrateClients(0) - keptDuringDrain(all[i], since)
			left += front.requests.MigrateClients(surplus)
		}
		if since >= migrationDeadline && left == 0 {
			return // a request established from now on is migrated at once
		}
	}
}

// keptDuringDrain returns how many of all connections are not to be migrated yet, by the time since the start
// of a manual drain.
func keptDuringDrain(all int, since time.Duration) int {
	return fractionOf(all, float64(migrationDeadline-since)/float64(migrationDeadline-migrationDelay))
}
