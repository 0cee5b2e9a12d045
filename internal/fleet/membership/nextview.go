package membership

import (
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// viewSpec says what the next view is to be made of.
type viewSpec struct {
	members       []string // sorted
	draining      map[string]bool
	releasedSlots []int // slots released by the relays that join the view
	allocation    *Allocation
	// earlierViewsExpired: no relay can act by an earlier view than the one held any more.
	earlierViewsExpired bool
	// withinShare holds the relays that are known to take no more than their share of the view held.
	withinShare map[string]bool
	// ignoreLimits, for tests only: a relay that leaves the view counts as taking nothing, as if it knew at
	// once.
	ignoreLimits bool
}

// unavailableMembers returns the members that this relay takes for failed, that it has never heard from, or
// whose status says LifecycleLeaving.
func (n *Node) unavailableMembers() (names []string) {
	for _, m := range n.view.Entries {
		if !m.IsMember || m.Name == n.cfg.Name {
			continue
		}
		if n.peers.byName[m.Name].isUnavailable() || n.isUnheard(m.Name) {
			names = append(names, m.Name)
		}
	}
	if n.localState.Lifecycle == LifecycleLeaving && n.view.Entry(n.cfg.Name).IsMember {
		names = append(names, n.cfg.Name)
	}
	return names
}

// isUnheard reports whether a member has never been alive here, though this relay has been running for a
// while.
func (n *Node) isUnheard(member string) bool {
	since := n.startedAt
	if p := n.peers.byName[member]; p != nil {
		if p.Health != HealthUnknown {
			return false
		}
		since = p.HealthSince
	}
	return n.now >= since+unheardTimeout
}

// unavailableNonMembers returns those of some relays that are no members and that this relay takes for
// failed, or whose status says LifecycleLeaving.
func (n *Node) unavailableNonMembers(names []string) (unavailable []string) {
	for _, name := range names {
		if n.peers.byName[name].isUnavailable() && !n.view.Entry(name).IsMember {
			unavailable = append(unavailable, name)
		}
	}
	return unavailable
}

// nextViewSpec returns what the next view is to be made of if some members are unavailable. changed reports
// whether that differs from the view held.
func (n *Node) nextViewSpec(unavailable func(name string) bool) (spec viewSpec, changed bool) {
	spec = viewSpec{draining: map[string]bool{}, withinShare: map[string]bool{}}
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
	n.noteWithinShare(&spec)
	if len(spec.members) == 0 {
		return spec, false
	}
	spec.allocation, _ = n.nextAllocation()
	changed = changed || !spec.allocation.equal(n.view.Allocation)
	improvable := spec.earlierViewsExpired && !n.view.Settled()
	return spec, changed || improvable && n.view.improves(spec)
}

// candidates returns the relays that may be in the next view, sorted: this relay, the members, and the peers
// that are alive and of this chain.
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

// candidateStatus returns the status of a candidate. For a member that has sent no status since this process
// started it is derived from the view.
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

// isOutdatedMember reports whether a member of a cell's view has restarted with a program that knows no
// plans.
func (n *Node) isOutdatedMember(s Status) bool {
	return s.Incarnation > 0 && n.view.Allocation != nil && !n.isEligible(s)
}

// mayJoin reports whether a relay that is not a member may join the next view: it has released its slot, and
// whatever it did by the slot's share has taken effect.
func (n *Node) mayJoin(name string, s Status) bool {
	if !s.SlotReleased || s.Lifecycle == LifecycleLeaving || !n.isEligible(s) {
		return false
	}
	return !n.releasesSlotByJoining(name, s) || n.hasTakenEffect(n.slotReleaseTime(name))
}

// releasesSlotByJoining reports whether a relay that joins the view brings in the slot that it has released.
func (n *Node) releasesSlotByJoining(name string, s Status) bool {
	_, known := n.view.findEntry(name)
	sameChain := s.BootstrapSize == n.view.BootstrapSize
	return !known && sameChain && slices.Contains(n.view.UnreleasedSlots, s.BootstrapSlot)
}

// noteWithinShare fills in which relays are known to act by no earlier view than the one held. A status that
// says so stays true, as the view that a relay reports is on its disk.
func (n *Node) noteWithinShare(spec *viewSpec) {
	allWithinShare := true
	for _, m := range n.view.Entries {
		if n.isWithinShare(m) {
			spec.withinShare[m.Name] = true
		} else {
			allWithinShare = false
		}
	}
	jointViews := n.safeguards.jointViews
	expired := n.now >= n.viewAdoptedAt+n.earlierViewsExpireAfter()
	spec.earlierViewsExpired = allWithinShare || expired || !jointViews
	spec.ignoreLimits = !jointViews
}

// isWithinShare reports whether a relay is known to take no more than its share of the view held.
func (n *Node) isWithinShare(m ViewEntry) bool {
	if m.OutstandingLimit <= m.BudgetShare {
		return true
	}
	if m.Name == n.cfg.Name && n.hasTakenEffect(n.viewAdoptedAt) {
		return true
	}
	p := n.peers.byName[m.Name]
	return p.hasStatus() && p.Status.Epoch >= n.view.Epoch && n.hasTakenEffect(p.EpochSince)
}

// hasTakenEffect reports whether everything that a relay did by its share before a time has taken effect.
// since is when the relay is known to have stopped, by this relay's clock.
func (n *Node) hasTakenEffect(since time.Duration) bool {
	return n.now >= since+duration.Scale(n.safeguards.maxEffectDelay, 1+MaxClockDrift)
}

// slotReleaseTime returns when a relay that has released its slot was first known to have released it.
func (n *Node) slotReleaseTime(name string) time.Duration {
	if p := n.peers.byName[name]; name != n.cfg.Name && p != nil {
		return p.SlotReleasedAt
	}
	return n.slot.releasedAt
}

// improves reports whether the next view would bring a share nearer to its target, or would end an
// outstanding limit.
func (v *View) improves(spec viewSpec) bool {
	next := v.nextView(spec)
	for _, m := range next.Entries {
		if m.IsMember && m.BudgetShare > v.Entry(m.Name).BudgetShare {
			return true
		}
	}
	return len(next.Entries) < len(v.Entries)
}

// nextView makes the view that follows. The sum of maxShare over all entries and of the unreleased slots
// stays within FullBudget: the outstanding limit of a relay is the most that it may take by this view or an
// earlier one, and shares above these limits are given only from what no limit holds.
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

// outstandingLimitAfter returns the most that a relay may still take by this view or an earlier one, once the
// next view is adopted.
func (v *View) outstandingLimitAfter(m ViewEntry, spec viewSpec) uint64 {
	switch {
	case spec.ignoreLimits && !slices.Contains(spec.members, m.Name):
		return 0
	case spec.earlierViewsExpired || spec.withinShare[m.Name]:
		return m.BudgetShare
	}
	return m.maxShare()
}

// assignShares gives each serving member its share: up to its outstanding limit at once, and above it from
// what no limit holds.
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

// nextVoters keeps the voters that are still members and fills up with other members. The number of voters is
// odd, except that a fleet of two has two.
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
