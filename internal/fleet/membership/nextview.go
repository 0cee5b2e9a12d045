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
	releasedSlots []int // that members hand over
	allocation    *Allocation
	// quiet: nobody can act by an earlier view than this any more.
	earlierViewsExpired bool
	// released are those who are known to take no more than their share of this view.
	lowered      map[string]bool
	ignoreLimits bool // in tests only: whoever is gone takes nothing, as if it knew
}

// unavailableMembers are the members that this relay takes for gone: failed, or leaving by their own word.
func (n *Node) unavailableMembers() (names []string) {
	for _, s := range n.view.Entries {
		p := n.peers.byName[s.Name]
		if !s.In || s.Name == n.cfg.Name || p == nil {
			continue
		}
		if p.Health == Failed || p.Health == Left || p.Status.Lifecycle == Leaving && p.StatusAt >= 0 {
			names = append(names, s.Name)
		}
	}
	if n.local.Lifecycle == Leaving && n.view.Member(n.cfg.Name).In {
		names = append(names, n.cfg.Name)
	}
	return names
}

// nextViewRequest is what the next view is to be made of, if gone are gone; changed says whether it differs from the one held.
func (n *Node) nextViewRequest(gone func(name string) bool) (w viewRequest, changed bool) {
	v := n.view
	w.idle, w.lowered = map[string]bool{}, map[string]bool{}
	take := func(name string, d Status) {
		_, seated := v.find(name)
		in := v.Member(name).In
		switch {
		case in && (gone(name) || d.Incarnation > 0 && v.Allocation != nil && !n.isEligible(d)):
			changed = true
			return
		case !in && (!d.SlotReleased || d.Lifecycle == Leaving || gone(name) || !n.isEligible(d)):
			return
		case !in:
			if !seated && slices.Contains(v.UnreleasedSlots, d.BootstrapSlot) && d.BootstrapSize == v.BootstrapSize {
				if !n.hasTakenEffect(n.slotReleasedAtOf(name)) { // what it took of its place may take effect still
					return
				}
				w.releasedSlots = append(w.releasedSlots, d.BootstrapSlot)
			}
			changed = true
		}
		w.members = append(w.members, name)
		idle := d.Lifecycle == Draining
		w.idle[name] = idle
		changed = changed || in && idle != v.Member(name).Idle
	}
	names := append([]string{n.cfg.Name}, v.MemberNames()...)
	for _, p := range n.peers.sorted {
		if p.Health == Alive && n.sameChain(p) {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		d := n.status()
		if p := n.peers.byName[name]; name != n.cfg.Name {
			if d = (Status{BootstrapSlot: -1}); p != nil && p.StatusAt >= 0 {
				d = p.Status
			} else if s := v.Member(name); s.In { // a member that has not said a word in this relay's life
				d.SlotReleased = true
				if s.Idle {
					d.Lifecycle = Draining
				}
			}
		}
		take(name, d)
	}
	n.noteLowered(&w)
	if len(w.members) == 0 {
		return w, false
	}
	w.allocation, _ = n.nextAllocation()
	changed = changed || !w.allocation.equal(v.Allocation)
	return w, changed || w.earlierViewsExpired && !v.Settled() && v.improves(w)
}

// noteLowered notes who is known to act by no earlier view than the one held. A status that says so is good for ever,
// as what is held is on disk.
func (n *Node) noteLowered(w *viewRequest) {
	all := true
	for _, s := range n.view.Entries {
		p := n.peers.byName[s.Name]
		switch {
		case s.Name == n.cfg.Name && n.hasTakenEffect(n.viewAdoptedAt), s.OutstandingLimit <= s.BudgetShare,
			p != nil && p.StatusAt >= 0 && p.Status.Epoch >= n.view.Epoch && n.hasTakenEffect(p.EpochSince):
			w.lowered[s.Name] = true
		default:
			all = false
		}
	}
	w.earlierViewsExpired = all || n.now >= n.viewAdoptedAt+n.earlierViewsExpireAfter() || !n.safeguards.jointViews
	w.ignoreLimits = !n.safeguards.jointViews
}

// hasTakenEffect tells whether all that a relay did by its share before since has taken effect. Since is when it is known to have
// stopped, by this relay's clock.
func (n *Node) hasTakenEffect(since time.Duration) bool {
	return n.now >= since+duration.Scale(n.safeguards.maxEffectDelay, 1+MaxClockDrift)
}

// slotReleasedAtOf is when a relay that has handed its place over was first known to have.
func (n *Node) slotReleasedAtOf(name string) time.Duration {
	if p := n.peers.byName[name]; name != n.cfg.Name && p != nil {
		return p.SlotReleasedAt
	}
	return n.slot.releasedAt
}

// improves tells whether the next view would bring a share nearer to its target, or let an outstanding limit go.
func (v *View) improves(w viewRequest) bool {
	n := v.next(w)
	for _, s := range n.Entries {
		if s.In && s.BudgetShare > v.Member(s.Name).BudgetShare {
			return true
		}
	}
	return len(n.Entries) < len(v.Entries)
}

// next makes the view that follows. The sum of maximum() over all entries and of the places kept stays within Whole: what
// any relay may take by this view or an earlier one is its outstanding limit there, and shares beyond these limits are
// given only from what no limit holds.
func (v *View) next(w viewRequest) *View {
	n := &View{Epoch: v.Epoch + 1, BootstrapSize: v.BootstrapSize, Allocation: w.allocation}
	n.UnreleasedSlots = slices.DeleteFunc(slices.Clone(v.UnreleasedSlots), func(p int) bool { return slices.Contains(w.releasedSlots, p) })
	for _, s := range v.Entries {
		bound := s.maxShare()
		if w.earlierViewsExpired || w.lowered[s.Name] {
			bound = s.BudgetShare
		}
		in := slices.Contains(w.members, s.Name)
		if w.ignoreLimits && !in {
			bound = 0
		}
		if in || bound > 0 {
			n.Entries = append(n.Entries, Member{Name: s.Name, In: in, OutstandingLimit: bound, Idle: w.idle[s.Name]})
		}
	}
	for _, name := range w.members {
		if i, ok := n.find(name); !ok {
			n.Entries = slices.Insert(n.Entries, i, Member{Name: name, In: true, Idle: w.idle[name]})
		}
	}
	due, free := n.targetShare(), Whole-n.unreleasedShare()
	for i := range n.Entries {
		free -= n.Entries[i].OutstandingLimit
	}
	for i := range n.Entries {
		s := &n.Entries[i]
		if !s.In || s.Idle {
			continue
		}
		s.BudgetShare = min(due, s.OutstandingLimit)
		if grow := min(due-s.BudgetShare, free); grow > 0 {
			s.BudgetShare += grow
			free -= grow
		}
	}
	n.Voters = voters(v.Voters, w.members)
	return n
}

// voters keeps the voters that stay and fills up: an odd number, but both of two.
func voters(old, members []string) (out []string) {
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
