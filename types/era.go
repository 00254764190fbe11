package types

// numberBits is the number of bits of a Revision below its era.
const numberBits = 48

// NewRevision returns the revision with the number that the store gave it in an era. ok is false if the number is too large.
func NewRevision(era Era, number uint64) (r Revision, ok bool) {
	return Revision(uint64(era)<<numberBits | number), number < 1<<numberBits
}

// Era returns the era in which the store assigned the revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the revision as the store numbers it within its era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// eraTokenBits is the number of bits of a fencing token below its era. The lowest token that an era assigns contains the Unix time
// in milliseconds, which fits until the year 2109.
const eraTokenBits = 42

// MaxExactEra is the last era whose fencing tokens are below 2^53, up to which integers are exact in JSON.
const MaxExactEra Era = 1<<(53-eraTokenBits) - 1

// FirstEpoch returns the lowest fencing token of an era. A token of a later era is higher than all earlier ones, also than those
// that a snapshot has lost.
func (e Era) FirstEpoch() Epoch { return Epoch(e) << eraTokenBits }
