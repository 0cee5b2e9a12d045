package lifecycle

import "time"

const (
	// migrationDelay is how long a manual drain keeps its connections before it migrates them: new
	// connections come for 0.2 s after the first PING that is answered as not ready, and are migrated at
	// once.
	migrationDelay = 300 * time.Millisecond
	// migrationDeadline is when the last of them is migrated; at 4 s a connection still open breaks the rule
	// on lost ones.
	migrationDeadline = 2500 * time.Millisecond
)

// Drain starts or ends a manual drain. Calling it twice the same way does nothing more.
func (o *adminRelay) Drain(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case on && o.stopMigration == nil:
		o.stopMigration = make(chan struct{})
		for _, front := range o.fronts {
			front.requests.SetDraining(true)
		}
		go o.migrateConnections(o.stopMigration)
	case !on && o.stopMigration != nil:
		close(o.stopMigration)
		o.stopMigration = nil
		for _, front := range o.fronts {
			front.requests.SetDraining(false)
		}
	}
}

// migrateConnections migrates every open connection of a drain, evenly from migrationDelay to
// migrationDeadline, unless the drain ends first.
func (o *adminRelay) migrateConnections(stop <-chan struct{}) {
	if len(o.fronts) == 0 {
		return
	}
	clock := o.fronts[0].requests.Clock
	began := clock.Now()
	all := make([]int, len(o.fronts))
	for i, front := range o.fronts {
		all[i] = front.requests.MigrateClients(0)
	}
	for {
		select {
		case <-stop:
			return
		case <-clock.After(migrationInterval):
		}
		since, left := clock.Now()-began, 0
		for i, front := range o.fronts {
			surplus := front.requests.MigrateClients(0) - keptDuringDrain(all[i], since)
			left += front.requests.MigrateClients(surplus)
		}
		if since >= migrationDeadline && left == 0 {
			return // what comes up from now on is migrated at once
		}
	}
}

// keptDuringDrain is how many of all connections a manual drain still keeps, by the time since its begin.
func keptDuringDrain(all int, since time.Duration) int {
	return fractionOf(all, float64(migrationDeadline-since)/float64(migrationDeadline-migrationDelay))
}
