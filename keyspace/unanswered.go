package keyspace

import "slices"

// unansweredCommits are the commits without an answer that replace one version of the stored table. Until the store is known to
// hold a later version, it may still carry out one of them, even if a read has shown the old version. Their ranges must not return
// to the owner that has released them: a coordinator that finds the commit carried out grants them to the new owner.
type unansweredCommits struct {
	// base is the Writer of the version that the commits replace.
	base string
	// ranges are those to which one of the commits gives another owner.
	ranges []Range
}

// add records a commit without an answer that replaces base by t.
func (u *unansweredCommits) add(base, t Table) {
	u.base = base.Writer
	for _, r := range t.Ranges {
		if i := base.Index(r.From); i >= 0 && base.Ranges[i].Owner != r.Owner {
			u.ranges = append(u.ranges, r)
		}
	}
}

// observe takes a version of the table that the store holds or has held since the commits. A version other than the one that they
// replace ends them.
func (u *unansweredCommits) observe(t Table) {
	if t.Writer != u.base {
		*u = unansweredCommits{}
	}
}

// reassign reports whether one of the commits gives a part of r to another owner.
func (u *unansweredCommits) reassign(r Range) bool {
	return slices.ContainsFunc(u.ranges, func(other Range) bool { return other.From <= r.To && r.From <= other.To })
}

// abandonCommit stops waiting for the commit in flight. The store may still carry it out.
func (c *Core) abandonCommit() {
	if c.pendingCommit != nil {
		c.unanswered.add(c.table, *c.pendingCommit)
	}
	c.pendingCommit = nil
}

// mayKeep reports whether the range at index i may stay with its present owner although its move has begun.
func (c *Core) mayKeep(i int) bool {
	r := c.table.Ranges[i]
	return c.usableOwner(r.Owner) && !c.unanswered.reassign(r)
}
