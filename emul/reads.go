package emul

import "time"

// ReadState is what is known of a batch when a request for its results could be answered.
type ReadState struct {
	// NewResults is the number of results that the reader does not have.
	NewResults int
	// MissingResults is the number of items without a result, of TotalResults in all.
	MissingResults int
	TotalResults   int
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

// answerAtOnce answers a request for results as soon as there is one, as the daemons do.
func answerAtOnce(state *ReadState) bool {
	return state.NewResults > 0 || state.Final || state.Waited >= state.Wait
}

// maxHeldShare is the share of a batch's items up to which missing ones keep a read open.
const maxHeldShare = 0.1

// holdTail keeps a read open while only the last items are missing, and answers it once the step
// is complete. Trainers read at fixed intervals and act on a step only once it is complete: if
// each read is answered with the few results that arrived since the one before, the result that
// completes the step waits for the next read, and the trainer's reaction for the one after it.
func holdTail(state *ReadState) bool {
	switch {
	case answerAtOnce(&ReadState{Final: state.Final, Waited: state.Waited, Wait: state.Wait}):
		return true
	case state.NewResults == 0:
		return false
	case float64(state.MissingResults) > maxHeldShare*float64(state.TotalResults):
		return true
	}
	return state.Sufficient || (state.UntilDue <= 0 && state.UntilDue > -state.Wait)
}
