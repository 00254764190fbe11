package ownership

import (
	"strconv"
	"strings"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// SlotsPerDocument is the number of slots in one slot document. It keeps a document with one run per slot below
// the store's value limit of a megabyte.
const SlotsPerDocument = 4096

// MaxHotKeys is the number of hot-key rows a service may have.
const MaxHotKeys = 64

// Peer is one run of a dispatcher process.
type Peer struct {
	VM          types.VM          `json:"vm"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// WriteID identifies one write to the store. A writer that lost the answer of a CAS finds out by reading it back.
type WriteID struct {
	Peer   Peer   `json:"peer"`
	Number uint64 `json:"number"`
}

// Header starts every document.
type Header struct {
	// Epoch rises by one with every write of the document. Rows carry the epoch at which they were written.
	Epoch types.Epoch `json:"epoch"`
	Write WriteID     `json:"write"`
}

// DocumentKind says what a document holds.
type DocumentKind uint8

// Kinds of documents.
const (
	SlotsKind DocumentKind = iota + 1
	LeasesKind
	GroupKind
)

// DocumentKey names a document of the store.
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

// String returns the store key.
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

// ParseDocumentKey returns the document key for a store key, or a CodeNotFound fault for keys of other kinds.
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

// GroupKey names a quorum group: one for all data centres, one for each data centre.
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

// String returns the last part of the group's store key.
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

// Document is a copy of one document with the store's counter for it. Exactly one of the pointers is set, none when
// the document does not exist. Documents are never changed once they are part of a message.
type Document struct {
	Key DocumentKey
	// Store is the store's modification counter of the key, 0 when the document does not exist. A CAS expects it.
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
	// SlotFree means that nobody owns the slot.
	SlotFree SlotState = iota
	// SlotOwned means that Owner may be granted the slot.
	SlotOwned
	// SlotReleasing means that no new grant may contain the slot; the owner's dispatcher writes the next owner once
	// the target has confirmed a grant without it.
	SlotReleasing
)

var slotStateNames = [...]string{"free", "owned", "releasing"}

// String returns the name of the state.
func (s SlotState) String() string { return slotStateNames[s] }

// Ownership says who owns a slot or hot key.
type Ownership struct {
	State SlotState    `json:"state"`
	Owner types.Target `json:"owner,omitempty"`
	// Term is the term of the owner's lease. When the lease's term is higher, the owner can no longer be granted
	// the slot. Without it, a planner with an old view of the leases could move slots of a target that has been
	// given a new lease meanwhile, because slots and leases are in separate documents.
	Term types.Epoch `json:"term,omitempty"`
	// Epoch is the document's epoch at which the row was written.
	Epoch types.Epoch `json:"epoch"`
	// Former is the epoch of the row under which the slot was owned last before this row was written, 0 when it never
	// was. A new owner's dispatcher compares it with what the former one hands over: if they are equal, nobody served
	// the slot in between.
	Former types.Epoch `json:"former,omitempty"`
	// Next is who becomes the owner after a release.
	Next types.Target `json:"next,omitempty"`
}

// lastOwned returns the epoch of the row under which the slot was owned last.
func (o Ownership) lastOwned() types.Epoch {
	if o.State == SlotOwned {
		return o.Epoch
	}
	return o.Former
}

// Run is a range of consecutive slots with the same ownership.
type Run struct {
	First types.Slot `json:"first"`
	Count uint32     `json:"count"`
	Ownership
}

// End returns the slot after the last one.
func (r Run) End() types.Slot { return r.First + types.Slot(r.Count) }

// HotKey is the row of a key that is owned apart from its slot.
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
	// LeaseVacant means that the target holds no grant and no dispatcher may give it one.
	LeaseVacant LeaseState = iota
	// LeaseActive means that Holder grants and renews.
	LeaseActive
	// LeaseRevoked means that Holder must stop. The target may hold a grant until the revocation has been waited
	// out or the holder has confirmed that it ended.
	LeaseRevoked
)

var leaseStateNames = [...]string{"vacant", "active", "revoked"}

// String returns the name of the state.
func (s LeaseState) String() string { return leaseStateNames[s] }

// Lease is the row of one target.
type Lease struct {
	Target types.Target `json:"target"`
	// DataCentre of the target. Its quorum group confirms the holder's permit under scope data-centre.
	DataCentre types.DataCentre `json:"dataCentre"`
	State      LeaseState       `json:"state"`
	// Epoch is the document's epoch at which the row was written; it fences grants and requests.
	Epoch types.Epoch `json:"epoch"`
	// Term is the epoch at which the target's present term of ownership began. It outlasts a change of dispatcher
	// and ends when the target loses its slots. A term that ended never returns.
	Term types.Epoch `json:"term"`
	// Former is the epoch of the row under which the lease was active last before this row was written.
	Former types.Epoch `json:"former,omitempty"`
	// Out is true while operators have taken the target out of service. Changing it changes neither Epoch nor Term.
	Out bool `json:"out,omitempty"`
	// Holder is the dispatcher, the last one when the lease is revoked.
	Holder Peer `json:"holder"`
	// Next is the dispatcher that follows a planned revocation, empty otherwise.
	Next Peer `json:"next"`
	// Ending is true when the revocation ends the term: the target loses its slots. Otherwise only the dispatcher
	// changes.
	Ending bool `json:"ending,omitempty"`
}

// lastActive returns the epoch of the row under which the lease was active last.
func (l Lease) lastActive() types.Epoch {
	if l.State == LeaseActive {
		return l.Epoch
	}
	return l.Former
}

// LeaseDocument holds the target leases of a service, ordered by target.
type LeaseDocument struct {
	Header
	// Scope is the scope of the service's quorum groups.
	Scope config.GroupScope `json:"scope"`
	// ScopeFrom is the scope before the last change until a majority of each of its groups has this document. While
	// it is set, revocations need majorities under both scopes.
	ScopeFrom config.GroupScope `json:"scopeFrom,omitempty"`
	Leases    []Lease           `json:"leases"`
}

// GroupDocument is the member list of a quorum group, ordered by VM.
type GroupDocument struct {
	Header
	Members []Peer `json:"members"`
	// Previous is the list before the last change. The next change needs a majority of it to hold this document.
	Previous []Peer `json:"previous,omitempty"`
}

// Homes returns the targets among which the identifiers of non-idempotent requests are divided in a service without
// keys: those in service whose term goes on. It is part of this document because permits confirm the document, so that
// two dispatchers use different lists only for as long as a permit lasts.
func (d *LeaseDocument) Homes() []types.Target {
	var out []types.Target
	for _, l := range d.Leases {
		if !l.Out && (l.State == LeaseActive || l.State == LeaseRevoked && !l.Ending) {
			out = append(out, l.Target)
		}
	}
	return out
}
