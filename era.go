package tarragondeal

import "cmp"

// Era is one history of the key-value service. A service that was restored from an earlier copy
// of its data begins another one: it lacks what was written since, and gives revisions again.
// An era is the time at which a node recorded it, in milliseconds since 1970. Zero is the
// history that began with the deployment.
type Era uint64

// Position is a point in the history of the key-value service.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns a negative number if p is before q, zero if they are equal, and a positive
// one if p is after q. Each position of an era is before all of the next one.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// RevisionChecker checks the revisions that the key-value service reports: they never fall
// within an era.
type RevisionChecker interface {
	// Begin is called before a call of the service. The returned function is called with the
	// revision in its answer. Its error is an *EraError if the answer must not be used.
	Begin() func(op, key string, reported Revision) error
}
