package membership

import (
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// viewSpec is what the next view is made from, as known to the relay that makes the view.
type viewSpec struct {
	members       []string        // sorted
	draining      map[string]bool // by member
	releasedSlots []int           // slots released by the relays that join the view
	allocation    *Allocation
	// earlierViewsExpired: no relay can act any more by a view that is earlier than the current one.
	earlierViewsExpired bool
	// limitedToBudgetShare, by relay: the relay is known to use no more than its BudgetShare of the current
	// view.
	limitedToBudgetShare map[string]bool
	// ignoreLimits, for tests only: the outstanding limit of a relay that leaves the view counts as 0, as if
	// the relay stopped using its share at once.
	ignoreLimits bool
}

// unavailableMembers returns the members of the current view that count as unavailable: the peers that have
// failed or left, whose status says LifecycleLeaving, or whose first health report is overdue, and this relay
// itself while it is leaving.
func (n *Node) unavailableMembers() (names []string) {
	for _, m := range n.view.Entries {
		if !m.IsMember || m.Name == n.cfg.Name {
			continue
		}
		if n.peers.byName[m.Name].isUnavailable() || n.isFirstHealthReportOverdue(m.Name) {
			names = append(names, m.Name)
		}
	}
	if n.localState.Lifecycle == LifecycleLeaving && n.view.Entry(n.cfg.Name).IsMember {
		names = append(names, n.cfg.Name)
	}
	return names
}

// isFirstHealthReportOverdue reports whether failure detection has reported no health of a member for
// firstHealthReportTimeout. The timeout counts from the start of this process or, if the member has an entry
// in the peer table, from the creation of that entry.
func (n *Node) isFirstHealthReportOverdue(member string) bool {
	since := n.startedAt
	if p := n.peers.byName[member]; p != nil {
		if p.Health != HealthUnknown {
			return false
		}
		since = p.HealthSince
	}
	return n.now >= since+firstHealthReportTimeout
}

// unavailableNonMembers returns which of the named relays are not members of the current view and have failed
// or left, or have a status that says LifecycleLeaving.
func (n *Node) unavailableNonMembers(names []string) (unavailable []string) {
	for _, name := range names {
		if n.peers.byName[name].isUnavailable() && !n.view.Entry(name).IsMember {
			unavailable = append(unavailable, name)
		}
	}
	return unavailable
}

// nextViewSpec returns what the next view is made from if the members and joining relays for which
// unavailable returns true are left out. changed reports whether a next view is needed: it would differ from
// the current view in its members, their draining state or the Allocation, or would improve the shares.
func (n *Node) nextViewSpec(unavailable func(name string) bool) (spec viewSpec, changed bool) {
	spec = viewSpec{draining: map[string]bool{}, limitedToBudgetShare: map[string]bool{}}
	for _, name := range n.candidates() {
		status := n.candidateStatus(name)
		entry := n.view.Entry(name)
		if entry.IsMember {
			if unavailable(name) || n.isOutdatedMember(status) {
				changed = true
				continue
			}
		} else {
			if unavailable(name) || !n.mayJoin(name, status) {
				continue
			}
			if n.releasesSlotByJoining(name, status) {
				spec.releasedSlots = append(spec.releasedSlots, status.BootstrapSlot)
			}
			changed = true
		}
		draining := status.Lifecycle == LifecycleDraining
		spec.members = append(spec.members, name)
		spec.draining[name] = draining
		changed = changed || entry.IsMember && draining != entry.Draining
	}
	n.determineUsageLimits(&spec)
	if len(spec.members) == 0 {
		return spec, false
	}
	spec.allocation, _ = n.nextAllocation()
	changed = changed || !spec.allocation.equal(n.view.Allocation)
	improvable := spec.earlierViewsExpired && !n.view.Settled()
	return spec, changed || improvable && n.view.improves(spec)
}

// candidates returns the relays that may be in the next view, sorted: this relay, the members of the current
// view, and the peers that are alive and belong to the same chain of views.
func (n *Node) candidates() []string {
	names := append([]string{n.cfg.Name}, n.view.MemberNames()...)
	for _, p := range n.peers.sorted {
		if p.Health == HealthAlive && n.sameChain(p) {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// candidateStatus returns the newest status of a candidate. If a member has sent no status since this process
// started, its status is derived from its entry in the current view.
func (n *Node) candidateStatus(name string) Status {
	if name == n.cfg.Name {
		return n.status()
	}
	if p := n.peers.byName[name]; p.hasStatus() {
		return p.Status
	}
	status := Status{BootstrapSlot: -1}
	if m := n.view.Entry(name); m.IsMember {
		status.SlotReleased = true
		if m.Draining {
			status.Lifecycle = LifecycleDraining
		}
	}
	return status
}

// isOutdatedMember reports whether a member of a cell's view has restarted with an older program, which does
// not support plans.
func (n *Node) isOutdatedMember(s Status) bool {
	return s.Incarnation > 0 && n.view.Allocation != nil && !n.isEligible(s)
}

// mayJoin reports whether a relay that is not a member may join the next view: the relay has released its
// bootstrap slot, is not leaving, and runs a program that supports plans if the fleet has cells. If the next
// view is to divide the share of the slot, everything that the relay did by that share must have taken
// effect.
func (n *Node) mayJoin(name string, s Status) bool {
	if !s.SlotReleased || s.Lifecycle == LifecycleLeaving || !n.isEligible(s) {
		return false
	}
	return !n.releasesSlotByJoining(name, s) || n.hasTakenEffect(n.slotReleaseTime(name))
}

// releasesSlotByJoining reports whether the bootstrap slot of a relay is removed from the unreleased slots
// when the relay joins the next view. This is so if the current view lists the slot as unreleased and has no
// entry of the relay.
func (n *Node) releasesSlotByJoining(name string, s Status) bool {
	_, known := n.view.findEntry(name)
	sameChain := s.BootstrapSize == n.view.BootstrapSize
	return !known && sameChain && slices.Contains(n.view.UnreleasedSlots, s.BootstrapSlot)
}

// determineUsageLimits sets the fields of spec that bound what the relays of the current view may still use:
// limitedToBudgetShare, earlierViewsExpired and ignoreLimits. A relay whose status reports the current epoch
// never returns to an earlier view, because it stores a view on disk before its status reports the epoch of
// that view.
func (n *Node) determineUsageLimits(spec *viewSpec) {
	allLimited := true
	for _, m := range n.view.Entries {
		if n.isLimitedToBudgetShare(m) {
			spec.limitedToBudgetShare[m.Name] = true
		} else {
			allLimited = false
		}
	}
	jointViews := n.safeguards.jointViews
	expired := n.now >= n.viewAdoptedAt+n.earlierViewsExpireAfter()
	spec.earlierViewsExpired = allLimited || expired || !jointViews
	spec.ignoreLimits = !jointViews
}

// isLimitedToBudgetShare reports whether a relay is known to use no more than its BudgetShare of the current
// view: its outstanding limit is not higher than that share, or the relay has adopted the current view and
// everything that it did by earlier views has taken effect.
func (n *Node) isLimitedToBudgetShare(m ViewEntry) bool {
	if m.OutstandingLimit <= m.BudgetShare {
		return true
	}
	if m.Name == n.cfg.Name && n.hasTakenEffect(n.viewAdoptedAt) {
		return true
	}
	p := n.peers.byName[m.Name]
	return p.hasStatus() && p.Status.Epoch >= n.view.Epoch && n.hasTakenEffect(p.EpochSince)
}

// hasTakenEffect reports whether everything that a relay did by a share has taken effect. since is the time,
// on this relay's clock, from which on the relay is known not to use that share any more.
func (n *Node) hasTakenEffect(since time.Duration) bool {
	return n.now >= since+duration.Scale(n.safeguards.maxEffectDelay, 1+MaxClockDrift)
}

// slotReleaseTime returns the time, on this relay's clock, from which on a relay is known to have released
// its bootstrap slot.
func (n *Node) slotReleaseTime(name string) time.Duration {
	if p := n.peers.byName[name]; name != n.cfg.Name && p != nil {
		return p.SlotReleasedAt
	}
	return n.slot.releasedAt
}

// improves reports whether the next view would raise the share of a member, or would have fewer entries
// because the outstanding limit of a relay that has left the view has ended.
func (v *View) improves(spec viewSpec) bool {
	next := v.nextView(spec)
	for _, m := range next.Entries {
		if m.IsMember && m.BudgetShare > v.Entry(m.Name).BudgetShare {
			return true
		}
	}
	return len(next.Entries) < len(v.Entries)
}

// nextView returns the view that follows v. The sum of maxShare over all entries and of the unreleased slots
// stays within FullBudget: the outstanding limit of a relay is the most that the relay may use by v or by an
// earlier view, and a share above that limit is granted only from the part of FullBudget that no outstanding
// limit and no unreleased slot occupies.
func (v *View) nextView(spec viewSpec) *View {
	released := func(slot int) bool { return slices.Contains(spec.releasedSlots, slot) }
	next := &View{
		Epoch:           v.Epoch + 1,
		BootstrapSize:   v.BootstrapSize,
		Allocation:      spec.allocation,
		UnreleasedSlots: slices.DeleteFunc(slices.Clone(v.UnreleasedSlots), released),
		Voters:          nextVoters(v.Voters, spec.members),
	}
	for _, m := range v.Entries {
		isMember, limit := slices.Contains(spec.members, m.Name), v.outstandingLimitAfter(m, spec)
		if isMember || limit > 0 {
			entry := ViewEntry{Name: m.Name, IsMember: isMember, OutstandingLimit: limit,
				Draining: spec.draining[m.Name]}
			next.Entries = append(next.Entries, entry)
		}
	}
	for _, name := range spec.members {
		if i, known := next.findEntry(name); !known {
			next.Entries = slices.Insert(next.Entries, i,
				ViewEntry{Name: name, IsMember: true, Draining: spec.draining[name]})
		}
	}
	next.assignShares()
	return next
}

// outstandingLimitAfter returns the most that the relay with entry m may still use by v or by an earlier
// view, once the next view is adopted: the relay's BudgetShare of v if the relay is known to act by no
// earlier view, else also its outstanding limit if that is higher.
func (v *View) outstandingLimitAfter(m ViewEntry, spec viewSpec) uint64 {
	switch {
	case spec.ignoreLimits && !slices.Contains(spec.members, m.Name):
		return 0
	case spec.earlierViewsExpired || spec.limitedToBudgetShare[m.Name]:
		return m.BudgetShare
	}
	return m.maxShare()
}

// assignShares raises the share of each serving member towards the target share: up to the member's
// outstanding limit in any case, and above that limit from the part of FullBudget that no outstanding limit
// and no unreleased slot occupies.
func (v *View) assignShares() {
	target, unassigned := v.targetShare(), FullBudget-v.unreleasedShare()
	for _, m := range v.Entries {
		unassigned -= m.OutstandingLimit
	}
	for i := range v.Entries {
		m := &v.Entries[i]
		if !m.IsMember || m.Draining {
			continue
		}
		m.BudgetShare = min(target, m.OutstandingLimit)
		growth := min(target-m.BudgetShare, unassigned)
		m.BudgetShare += growth
		unassigned -= growth
	}
}

// nextVoters returns the voters of the next view: the old voters that are still members, then other members
// up to the number of voters. This number is odd, except that a fleet of two has two voters.
func nextVoters(old, members []string) (voters []string) {
	count := min(len(members), MaxVoters)
	if count > 2 && count%2 == 0 {
		count--
	}
	for _, name := range old {
		if len(voters) < count && slices.Contains(members, name) {
			voters = append(voters, name)
		}
	}
	for _, name := range members {
		if len(voters) < count && !slices.Contains(voters, name) {
			voters = append(voters, name)
		}
	}
	return voters
}
