package membership

import (
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// viewRequest is what the next view is to be made of.
type viewRequest struct {
	members       []string // in the order of names
	idle          map[string]bool
	releasedSlots []int // by relays that come into the view
	allocation    *Allocation
	// earlierViewsExpired: nobody can act by an earlier view than the one held any more.
	earlierViewsExpired bool
	// withinShare has the relays that are known to take no more than their share of the view held.
	withinShare map[string]bool
	// ignoreLimits, in tests only: whoever is out of the view takes nothing, as if it knew.
	ignoreLimits bool
}

// unavailableMembers are the members that have failed, as far as this relay knows, that it has never heard,
// or whose status says Leaving.
func (n *Node) unavailableMembers() (names []string) {
	for _, m := range n.view.Entries {
		if !m.IsMember || m.Name == n.cfg.Name {
			continue
		}
		if n.peers.byName[m.Name].isUnavailable() || n.isUnheard(m.Name) {
			names = append(names, m.Name)
		}
	}
	if n.local.Lifecycle == LifecycleLeaving && n.view.Entry(n.cfg.Name).IsMember {
		names = append(names, n.cfg.Name)
	}
	return names
}

// isUnheard tells whether a member was never alive here, though this relay has been there for a while.
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

// unavailableOf are those of some relays, of no view, that have failed, as far as this relay knows, or whose
// status says Leaving.
func (n *Node) unavailableOf(names []string) (unavailable []string) {
	for _, name := range names {
		if n.peers.byName[name].isUnavailable() && !n.view.Entry(name).IsMember {
			unavailable = append(unavailable, name)
		}
	}
	return unavailable
}

// nextViewRequest is what the next view is to be made of, if some members are unavailable; changed says
// whether it differs from the view held.
func (n *Node) nextViewRequest(unavailable func(name string) bool) (request viewRequest, changed bool) {
	request = viewRequest{idle: map[string]bool{}, withinShare: map[string]bool{}}
	for _, name := range n.candidates() {
		status := n.candidateStatus(name)
		was := n.view.Entry(name)
		if was.IsMember {
			if unavailable(name) || n.isOutdatedMember(status) {
				changed = true
				continue
			}
		} else {
			if unavailable(name) || !n.mayJoin(name, status) {
				continue
			}
			if n.releasesSlotByJoining(name, status) {
				request.releasedSlots = append(request.releasedSlots, status.BootstrapSlot)
			}
			changed = true
		}
		idle := status.Lifecycle == LifecycleDraining
		request.members = append(request.members, name)
		request.idle[name] = idle
		changed = changed || was.IsMember && idle != was.Draining
	}
	n.noteWithinShare(&request)
	if len(request.members) == 0 {
		return request, false
	}
	request.allocation, _ = n.nextAllocation()
	changed = changed || !request.allocation.equal(n.view.Allocation)
	improvable := request.earlierViewsExpired && !n.view.Settled()
	return request, changed || improvable && n.view.improves(request)
}

// candidates are those who may be in the next view, in the order of names: this relay, the members, and the
// peers that are alive and of this chain.
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

// candidateStatus is what is known of a candidate. Of a member without a status since this process started
// the view has enough.
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

// isOutdatedMember tells whether a member of a cell's view has come back by a program that knows no plans.
func (n *Node) isOutdatedMember(s Status) bool {
	return s.Incarnation > 0 && n.view.Allocation != nil && !n.isEligible(s)
}

// mayJoin tells whether a relay that is in no view may come into the next: it has released its slot, and
// what it took of that can take no effect any more.
func (n *Node) mayJoin(name string, s Status) bool {
	if !s.SlotReleased || s.Lifecycle == LifecycleLeaving || !n.isEligible(s) {
		return false
	}
	return !n.releasesSlotByJoining(name, s) || n.hasTakenEffect(n.slotReleasedAtOf(name))
}

// releasesSlotByJoining tells whether a relay that comes into the view brings the slot that it has released.
func (n *Node) releasesSlotByJoining(name string, s Status) bool {
	_, known := n.view.find(name)
	sameChain := s.BootstrapSize == n.view.BootstrapSize
	return !known && sameChain && slices.Contains(n.view.UnreleasedSlots, s.BootstrapSlot)
}

// noteWithinShare notes who is known to act by no earlier view than the one held. A status that says so is
// good for ever, as what is held is on disk.
func (n *Node) noteWithinShare(request *viewRequest) {
	all := true
	for _, m := range n.view.Entries {
		if n.isWithinShare(m) {
			request.withinShare[m.Name] = true
		} else {
			all = false
		}
	}
	joint := n.safeguards.jointViews
	expired := n.now >= n.viewAdoptedAt+n.earlierViewsExpireAfter()
	request.earlierViewsExpired = all || expired || !joint
	request.ignoreLimits = !joint
}

// isWithinShare tells whether a relay is known to take no more than its share of the view held.
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

// hasTakenEffect tells whether all that a relay did by its share before since has taken effect. Since is
// when it is known to have stopped, by this relay's clock.
func (n *Node) hasTakenEffect(since time.Duration) bool {
	return n.now >= since+duration.Scale(n.safeguards.maxEffectDelay, 1+MaxClockDrift)
}

// slotReleasedAtOf is when a relay that has released its slot was first known to have.
func (n *Node) slotReleasedAtOf(name string) time.Duration {
	if p := n.peers.byName[name]; name != n.cfg.Name && p != nil {
		return p.SlotReleasedAt
	}
	return n.slot.releasedAt
}

// improves tells whether the next view would bring a share nearer to its target, or let an outstanding
// limit go.
func (v *View) improves(w viewRequest) bool {
	n := v.next(w)
	for _, s := range n.Entries {
		if s.IsMember && s.BudgetShare > v.Entry(s.Name).BudgetShare {
			return true
		}
	}
	return len(n.Entries) < len(v.Entries)
}

// next makes the view that follows. The sum of maxShare over all entries and of the slots not released
// stays within FullBudget: what any relay may take by this view or an earlier one is its outstanding
// limit there, and shares beyond these limits are given only from what no limit holds.
func (v *View) next(request viewRequest) *View {
	released := func(slot int) bool { return slices.Contains(request.releasedSlots, slot) }
	n := &View{
		Epoch:           v.Epoch + 1,
		BootstrapSize:   v.BootstrapSize,
		Allocation:      request.allocation,
		UnreleasedSlots: slices.DeleteFunc(slices.Clone(v.UnreleasedSlots), released),
		Voters:          nextVoters(v.Voters, request.members),
	}
	for _, m := range v.Entries {
		in, limit := slices.Contains(request.members, m.Name), v.limitAfter(m, request)
		if in || limit > 0 {
			next := ViewEntry{Name: m.Name, IsMember: in, OutstandingLimit: limit,
				Draining: request.idle[m.Name]}
			n.Entries = append(n.Entries, next)
		}
	}
	for _, name := range request.members {
		if i, known := n.find(name); !known {
			n.Entries = slices.Insert(n.Entries, i,
				ViewEntry{Name: name, IsMember: true, Draining: request.idle[name]})
		}
	}
	n.divide()
	return n
}

// limitAfter is the most that a relay may take by this view or an earlier one, once the next is adopted.
func (v *View) limitAfter(m ViewEntry, request viewRequest) uint64 {
	switch {
	case request.ignoreLimits && !slices.Contains(request.members, m.Name):
		return 0
	case request.earlierViewsExpired || request.withinShare[m.Name]:
		return m.BudgetShare
	}
	return m.maxShare()
}

// divide gives each member that serves its share: up to its outstanding limit at once, beyond that from
// what no limit holds.
func (v *View) divide() {
	target, free := v.targetShare(), FullBudget-v.unreleasedShare()
	for _, m := range v.Entries {
		free -= m.OutstandingLimit
	}
	for i := range v.Entries {
		m := &v.Entries[i]
		if !m.IsMember || m.Draining {
			continue
		}
		m.BudgetShare = min(target, m.OutstandingLimit)
		grow := min(target-m.BudgetShare, free)
		m.BudgetShare += grow
		free -= grow
	}
}

// nextVoters keeps the voters that stay and fills up: an odd number, but both of two.
func nextVoters(old, members []string) (out []string) {
	n := min(len(members), MaxVoters)
	if n > 2 && n%2 == 0 {
		n--
	}
	for _, name := range old {
		if len(out) < n && slices.Contains(members, name) {
			out = append(out, name)
		}
	}
	for _, name := range members {
		if len(out) < n && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
