package edge

import (
	"context"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// auditInterval is how often the keeper reads the watched prefixes. A watch of the store may miss changes and go on
	// waiting; configurations must be in force within 2 s.
	auditInterval = 800 * time.Millisecond
	// targetAuditInterval is the same for the registrations, whose list is long. Their bounds hold only while the store is
	// undisturbed, when watches miss nothing.
	targetAuditInterval = 2500 * time.Millisecond
	// auditSilence is how long a VM trusts its watches without hearing from the keeper.
	auditSilence = 1800 * time.Millisecond
	// auditSpacing bounds how often a VM reads a prefix again because of a difference.
	auditSpacing = 400 * time.Millisecond
)

// digest sums up a prefix of the store at one revision.
type digest struct {
	prefix string
	// at is the revision of the store that the digest was taken at.
	at types.Revision
	// newest is the highest revision of a key, count the number of keys.
	newest types.Revision
	count  int
}

// auditRequest asks for a read of a prefix.
type auditRequest struct{ prefix string }

// auditor reads whole prefixes beside the watches.
type auditor struct {
	in    *ring.Ring[auditRequest]
	out   *ring.Ring[any]
	store store.Store
}

func (a *auditor) duty() duty.Duty { return duty.Duty{Name: "audit", Run: a.run} }

func (a *auditor) run(ctx context.Context) error {
	a.in.Serve(ctx, func(r auditRequest) error { return a.out.Put(ctx, a.read(ctx, r)) })
	return nil
}

func (a *auditor) read(ctx context.Context, r auditRequest) update {
	ctx, cancel := context.WithTimeout(ctx, sessionCall)
	defer cancel()
	entries, revision, err := a.store.List(ctx, r.prefix)
	return update{prefix: r.prefix, snapshot: err == nil, audit: true, entries: entries, revision: revision, err: err}
}

// contents tracks the keys of one prefix.
type contents struct {
	entries map[string]store.Entry
	// away is true since a read of the prefix has failed.
	away bool
	// doubt is a digest of another VM that shows more than this VM knows, since doubtAt; its revision is 0 for none.
	doubt   digest
	doubtAt types.Instant
	// mirrorAt is when another VM may be asked again.
	mirrorAt types.Instant
	// known is the revision of the store up to which changes are known.
	known types.Revision
	// askedAt is when the prefix was last read again.
	askedAt types.Instant
}

func newContents() *contents { return &contents{entries: make(map[string]store.Entry)} }

// apply records an update. It reports whether the update holds anything new.
func (c *contents) apply(u update) bool {
	if u.snapshot && u.revision < c.known {
		return false
	}
	changed := false
	if u.snapshot {
		// The first answer counts as new also when it holds nothing.
		changed = c.known == 0 || c.differs(u.entries)
		clear(c.entries)
		for _, e := range u.entries {
			c.entries[e.Key] = e
		}
		c.known = u.revision
	}
	for _, e := range u.events {
		changed = true
		c.known = max(c.known, e.Revision)
		if e.Deleted {
			delete(c.entries, e.Key)
		} else {
			c.entries[e.Key] = e.Entry
		}
	}
	return changed
}

func (c *contents) differs(entries []store.Entry) bool {
	if len(entries) != len(c.entries) {
		return true
	}
	for _, e := range entries {
		if c.entries[e.Key].Revision != e.Revision {
			return true
		}
	}
	return false
}

func (c *contents) digest(prefix string) digest {
	d := digest{prefix: prefix, at: c.known, count: len(c.entries)}
	for _, e := range c.entries {
		d.newest = max(d.newest, e.Revision)
	}
	return d
}

// behind reports whether another VM's digest, taken at the same revision or later, shows other keys.
func (c *contents) behind(d digest) bool {
	own := c.digest(d.prefix)
	return d.at >= own.newest && (d.newest != own.newest || d.count != own.count)
}

func (k *knowledge) readAgain(now types.Instant, prefix string, spacing time.Duration) {
	c := k.contents[prefix]
	if c == nil || now.Before(c.askedAt.Add(spacing)) {
		return
	}
	c.askedAt = now
	_ = k.audits.Replace(auditRequest{prefix: prefix})
}

// audit reads the watched prefixes if this VM is the keeper, or if the keeper is silent.
func (k *knowledge) audit(now types.Instant) {
	spacing, targetSpacing := auditInterval, targetAuditInterval
	if !k.watching.on {
		return
	}
	if k.keeperVM != k.vm {
		if now.Sub(k.auditedAt) < auditSilence {
			return
		}
		spacing, targetSpacing = auditSilence, 2*targetAuditInterval
	}
	k.readAgain(now, platform.OperatorPrefix, spacing)
	k.readAgain(now, platform.TargetPrefix, targetSpacing)
}

// tellDigest sends what the keeper knows of a prefix to all VMs.
func (k *knowledge) tellDigest(ctx context.Context, prefix string) {
	if k.keeperVM == k.vm {
		_ = k.reports.Put(ctx, report{to: toAll, digests: []digest{k.contents[prefix].digest(prefix)}})
	}
}
