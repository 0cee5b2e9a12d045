package lifecycle

// Drain starts or ends a drain by hand. Calling it twice the same way does nothing more.
func (o *adminTarget) Drain(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case on && o.stopMigration == nil:
		o.stopMigration = make(chan struct{})
		for _, r := range o.fronts {
			r.requests.SetDraining(true)
		}
		go o.migrateConnections(o.stopMigration)
	case !on && o.stopMigration != nil:
		close(o.stopMigration)
		o.stopMigration = nil
		for _, r := range o.fronts {
			r.requests.SetDraining(false)
		}
	}
}

// migrateConnections moves every open connection of a drain, evenly from drainHold to drainBy, unless the drain ends first.
func (o *adminTarget) migrateConnections(stop <-chan struct{}) {
	if len(o.fronts) == 0 {
		return
	}
	clock := o.fronts[0].requests.Clock
	began := clock.NowMillis()
	all := make([]int, len(o.fronts))
	for i, r := range o.fronts {
		all[i] = r.requests.MigrateSome(0)
	}
	for {
		select {
		case <-stop:
			return
		case <-clock.AfterMillis(migrationInterval):
		}
		since, left := clock.NowMillis()-began, 0
		for i, r := range o.fronts {
			n := r.requests.MigrateSome(0) - keptDuringDrain(all[i], since)
			left += r.requests.MigrateSome(n)
		}
		if since >= migrationDeadline && left == 0 {
			return // what comes up from now on is moved at once
		}
	}
}

// keptDuringDrain is how many of all connections a drain by hand still keeps at some point.
func keptDuringDrain(all int, since float64) int {
	return fractionOf(all, (migrationDeadline-since)/(migrationDeadline-migrationDelay))
}
