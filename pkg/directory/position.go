package directory

import "cmp"

// Position is a point in the history of a topic of the store. Offsets order the records of one era only: each time that the store
// comes back from an older copy, its era rises, what was written after the copy is gone, and the offsets are given out again.
type Position struct {
	// Era is 0 if the store states none, or if a VM of an earlier version sent the position.
	Era, Offset int64
}

// Before reports whether p is earlier than other.
func (p Position) Before(other Position) bool {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset)) < 0
}

// Bounds of an era that is believed. A corrupt one beyond them would make all later ones look old.
const (
	// maxFirstEra bounds the first era that a VM learns. The users' pages do not say with which one the store begins.
	maxFirstEra = 1 << 53
	// maxEraStep bounds the rise from one reading to the next. A VM that was frozen may have missed several eras.
	maxEraStep = 1_000
)

// plausibleEra reports whether a VM that knows an era, 0 if it knows none, may believe another one.
func plausibleEra(known, era int64) bool {
	if known == 0 {
		return era >= 0 && era <= maxFirstEra
	}
	return era >= 0 && era-known <= maxEraStep
}
