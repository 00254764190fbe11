package ownership

import (
	"strconv"
	"strings"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// SlotsPerDocument is the number of slots in one slot document. It keeps a document with one run per slot below the
// value limit of the store, one megabyte.
const SlotsPerDocument = 4096

// MaxHotKeys is the number of hot-key rows a service may have.
const MaxHotKeys = 64

// Peer identifies one incarnation of a dispatcher process.
type Peer struct {
	VM          types.VM          `json:"vm"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// WriteID identifies one write to the store. A writer that lost the answer of a compare-and-swap recognises its write
// by it when it reads the document back.
type WriteID struct {
	Peer   Peer   `json:"peer"`
	Number uint64 `json:"number"`
}

// Header is the common part of all documents.
type Header struct {
	// Epoch increases by one with every write of the document. Rows carry the epoch at which they were written.
	Epoch types.Epoch `json:"epoch"`
	Write WriteID     `json:"write"`
}

// DocumentKind identifies the contents of a document.
type DocumentKind uint8

// Kinds of documents.
const (
	// SlotsKind is a SlotDocument.
	SlotsKind DocumentKind = iota + 1
	// LeasesKind is a LeaseDocument.
	LeasesKind
	// GroupKind is a GroupDocument.
	GroupKind
)

// DocumentKey identifies a document in the store.
type DocumentKey struct {
	Kind    DocumentKind
	Service types.Service // slots and leases
	Part    uint16        // slots: index of the document within the service's table
	Group   GroupKey      // group
}

// SlotsKey returns the key of one part of a service's slot table.
func SlotsKey(service types.Service, part uint16) DocumentKey {
	return DocumentKey{Kind: SlotsKind, Service: service, Part: part}
}

// LeasesKey returns the key of a service's target leases.
func LeasesKey(service types.Service) DocumentKey {
	return DocumentKey{Kind: LeasesKind, Service: service}
}

// GroupDocumentKey returns the key of a quorum group's member list.
func GroupDocumentKey(g GroupKey) DocumentKey {
	return DocumentKey{Kind: GroupKind, Group: g}
}

const (
	slotsPrefix  = "table/"
	leasesPrefix = "lease/"
	groupPrefix  = "group/"
)

// String returns the key under which the store keeps the document.
func (k DocumentKey) String() string {
	switch k.Kind {
	case SlotsKind:
		return slotsPrefix + string(k.Service) + "/" + strconv.Itoa(int(k.Part))
	case LeasesKind:
		return leasesPrefix + string(k.Service)
	case GroupKind:
		return groupPrefix + k.Group.String()
	}
	return ""
}

// ParseDocumentKey parses a store key. It returns a CodeNotFound fault for keys of other kinds.
func ParseDocumentKey(s string) (DocumentKey, error) {
	if rest, ok := strings.CutPrefix(s, slotsPrefix); ok {
		service, part, found := strings.Cut(rest, "/")
		n, err := strconv.ParseUint(part, 10, 16)
		if found && err == nil {
			return SlotsKey(types.Service(service), uint16(n)), nil
		}
	}
	if rest, ok := strings.CutPrefix(s, leasesPrefix); ok {
		return LeasesKey(types.Service(rest)), nil
	}
	if rest, ok := strings.CutPrefix(s, groupPrefix); ok {
		return GroupDocumentKey(parseGroupKey(rest)), nil
	}
	return DocumentKey{}, types.NewFault(types.CodeNotFound, "%q is not an ownership document", s)
}

// GroupKey identifies a quorum group, the dispatchers whose majority confirms permits. One group covers all data
// centres, and each data centre has its own.
type GroupKey struct {
	Scope      config.GroupScope
	DataCentre types.DataCentre // empty for scope all
}

const dataCentreGroupPrefix = "data-centre/"

// GroupAll is the quorum group of services whose scope is all.
var GroupAll = GroupKey{Scope: config.ScopeAll}

// GroupOf returns the quorum group for targets in dc under scope.
func GroupOf(scope config.GroupScope, dc types.DataCentre) GroupKey {
	if scope == config.ScopeAll {
		return GroupAll
	}
	return GroupKey{Scope: config.ScopeDataCentre, DataCentre: dc}
}

// String returns the last part of the store key of the group.
func (g GroupKey) String() string {
	if g.Scope == config.ScopeAll {
		return string(config.ScopeAll)
	}
	return dataCentreGroupPrefix + string(g.DataCentre)
}

func parseGroupKey(s string) GroupKey {
	if dc, ok := strings.CutPrefix(s, dataCentreGroupPrefix); ok {
		return GroupOf(config.ScopeDataCentre, types.DataCentre(dc))
	}
	return GroupAll
}

// Document is a copy of one document with its store revision. Exactly one of the pointers is set, none when the
// document does not exist. Documents are never changed once they are part of a message.
type Document struct {
	Key DocumentKey
	// Store is the store revision of the last write to the key, 0 when the document does not exist. A compare-and-swap
	// expects it.
	Store  types.Revision
	Slots  *SlotDocument
	Leases *LeaseDocument
	Group  *GroupDocument
}

// Header returns the header of the document, a zero header when it does not exist.
func (d Document) Header() Header {
	switch {
	case d.Slots != nil:
		return d.Slots.Header
	case d.Leases != nil:
		return d.Leases.Header
	case d.Group != nil:
		return d.Group.Header
	}
	return Header{}
}

// SlotState is the state of a slot or hot key.
type SlotState uint8

// States of slots and hot keys.
const (
	// SlotFree means that the slot has no owner.
	SlotFree SlotState = iota
	// SlotOwned means that Owner may be granted the slot.
	SlotOwned
	// SlotReleasing means that no new grant may contain the slot; the dispatcher of the owner writes the next owner
	// once the target has confirmed a grant without it.
	SlotReleasing
)

var slotStateNames = [...]string{"free", "owned", "releasing"}

// String returns the name of the state.
func (s SlotState) String() string { return slotStateNames[s] }

// Ownership is the owner and state of a slot or hot key.
type Ownership struct {
	State SlotState    `json:"state"`
	Owner types.Target `json:"owner,omitempty"`
	// Term is the term of the lease of the owner. When the lease has a higher term, the owner can no longer be granted
	// the slot. Without it, a planner with an outdated copy of the leases could move slots of a target that has
	// received a new lease since, because slots and leases are in separate documents.
	Term types.Epoch `json:"term,omitempty"`
	// Epoch is the epoch of the document at which the row was written.
	Epoch types.Epoch `json:"epoch"`
	// PreviousEpoch is the epoch of the last row before this one under which the slot was owned, 0 when it never was.
	// The dispatcher of a new owner compares it with the state that the previous one hands over: if they are equal,
	// nobody served the slot in between.
	PreviousEpoch types.Epoch `json:"former,omitempty"`
	// NextOwner is the target that becomes the owner after a release.
	NextOwner types.Target `json:"next,omitempty"`
}

// lastOwned returns the epoch of the last row under which the slot was owned, this one included.
func (o Ownership) lastOwned() types.Epoch {
	if o.State == SlotOwned {
		return o.Epoch
	}
	return o.PreviousEpoch
}

// Run is a range of consecutive slots with the same ownership.
type Run struct {
	First types.Slot `json:"first"`
	Count uint32     `json:"count"`
	Ownership
}

// End returns the slot after the last one.
func (r Run) End() types.Slot { return r.First + types.Slot(r.Count) }

// HotKey is the row of a key that has an owner independent of its slot.
type HotKey struct {
	Key types.KeyHash `json:"key"`
	Ownership
}

// SlotDocument is one part of a service's slot table. Runs cover the part without gaps, ordered by First.
type SlotDocument struct {
	Header
	Runs []Run `json:"runs"`
	// HotKeys lists the hot keys whose slot is in this part, ordered by Key.
	HotKeys []HotKey `json:"hotKeys,omitempty"`
}

// LeaseState is the state of a target lease.
type LeaseState uint8

// States of target leases.
const (
	// LeaseVacant means that the target has no grant and no dispatcher may give it one.
	LeaseVacant LeaseState = iota
	// LeaseActive means that Holder may grant and renew.
	LeaseActive
	// LeaseRevoked means that Holder must stop. The target may have a grant until the revocation has been waited out
	// or the holder has confirmed that the grant ended.
	LeaseRevoked
)

var leaseStateNames = [...]string{"vacant", "active", "revoked"}

// String returns the name of the state.
func (s LeaseState) String() string { return leaseStateNames[s] }

// Lease is the row of one target: the right of one dispatcher to grant keys to the target and to send requests to it.
type Lease struct {
	Target types.Target `json:"target"`
	// DataCentre is that of the target. Its quorum group confirms the permit of the holder under scope data-centre.
	DataCentre types.DataCentre `json:"dataCentre"`
	State      LeaseState       `json:"state"`
	// Epoch is the epoch of the document at which the row was written; it fences grants and requests.
	Epoch types.Epoch `json:"epoch"`
	// Term is the epoch at which the current term of ownership of the target began. A change of dispatcher keeps the
	// term; it ends when the target loses its slots. A term that ended is never used again.
	Term types.Epoch `json:"term"`
	// PreviousEpoch is the epoch of the last row before this one under which the lease was active.
	PreviousEpoch types.Epoch `json:"former,omitempty"`
	// OutOfService is true while operators have taken the target out of service. Changing it changes neither Epoch nor
	// Term.
	OutOfService bool `json:"out,omitempty"`
	// Holder is the dispatcher that holds the lease, or the last one when the lease is revoked.
	Holder Peer `json:"holder"`
	// NextHolder is the dispatcher that follows a planned revocation, empty otherwise.
	NextHolder Peer `json:"next"`
	// EndsTerm is true when the revocation ends the term: the target loses its slots. Otherwise only the dispatcher
	// changes.
	EndsTerm bool `json:"ending,omitempty"`
}

// lastActive returns the epoch of the last row under which the lease was active, this one included.
func (l Lease) lastActive() types.Epoch {
	if l.State == LeaseActive {
		return l.Epoch
	}
	return l.PreviousEpoch
}

// LeaseDocument holds the target leases of a service, ordered by target.
type LeaseDocument struct {
	Header
	// Scope is the scope of the quorum groups of the service.
	Scope config.GroupScope `json:"scope"`
	// PreviousScope is the scope before the last change. It is set until a majority of each of its groups has this
	// document, and until then revocations need majorities under both scopes.
	PreviousScope config.GroupScope `json:"scopeFrom,omitempty"`
	Leases        []Lease           `json:"leases"`
}

// GroupDocument is the member list of a quorum group, ordered by VM.
type GroupDocument struct {
	Header
	Members []Peer `json:"members"`
	// PreviousMembers is the list before the last change. The next change waits until so many of these members hold
	// this document that the others are no majority.
	PreviousMembers []Peer `json:"previous,omitempty"`
}

// Homes returns the targets among which the identifiers of non-idempotent requests are divided in a service without
// keys: those in service whose term continues. The list is part of this document because permits confirm the document,
// so two dispatchers use different lists for at most the duration of a permit.
func (d *LeaseDocument) Homes() []types.Target {
	var out []types.Target
	for _, l := range d.Leases {
		if !l.OutOfService && (l.State == LeaseActive || l.State == LeaseRevoked && !l.EndsTerm) {
			out = append(out, l.Target)
		}
	}
	return out
}
