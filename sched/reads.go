package sched

import "time"

// ReadState is what is known of a batch when a request for its results could be answered.
type ReadState struct {
	// NewResults is the number of results that the reader does not have.
	NewResults int
	// Sufficient means that as many groups are whole as the trainer waits for.
	Sufficient bool
	// Final means that no more results are expected: every item has one, or the batch has
	// ended.
	Final bool
	// Waited is the time since the request, and Wait how long the reader agreed to wait.
	Waited time.Duration
	Wait   time.Duration
	// UntilDue is the time until the batch's results are due. It may be negative.
	UntilDue time.Duration
}

// AnswerRead reports whether a request for results is answered now. Trainers read at fixed
// intervals and act on a step only once it is complete. If each read is answered with the
// few results that arrived since the one before, the result that completes the step waits
// for the next read, and the trainer's reaction for the one after it. A read is therefore kept open for the time that the reader offered,
// and answered at once when the step is complete. Whatever arrives after that, for a trainer
// that waits for certain groups, is delivered as it arrives, and so are the results that are
// there when the results are due or arrive soon after.
func AnswerRead(state *ReadState) bool {
	switch {
	case state.Waited >= state.Wait || state.Final:
		return true
	case state.NewResults == 0:
		return false
	}
	return state.Sufficient || (state.UntilDue <= 0 && state.UntilDue > -state.Wait)
}
