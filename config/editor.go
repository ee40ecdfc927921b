package config

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/epoch"
)

// Editor applies changes to the configuration: it appends them to the config stream and
// returns the result that their order in the log decides.
type Editor struct {
	Stream       *epoch.Stream
	StateMachine *StateMachine
}

// ApplyChange appends a change and returns the revision at which it was accepted. It returns
// ErrInvalid, or a *ConflictError that names the conflicting change. After
// gypsum.ErrLogUnavailable the change may still be accepted; retrying it with the same
// id is idempotent.
func (e *Editor) ApplyChange(ctx context.Context, change *gypsum.Change) (gypsum.Revision, error) {
	if err := Validate(change); err != nil {
		return 0, err
	}
	if revision, ok, err := e.StateMachine.ChangeResult(change.ID); ok {
		return revision, err
	}
	body, err := cbor.Marshal(change)
	if err != nil {
		return 0, fmt.Errorf("encode change: %w", err)
	}
	if err := e.Stream.Append(ctx, "", body); err != nil {
		return 0, fmt.Errorf("append change: %w", err)
	}
	revision, ok, err := e.StateMachine.ChangeResult(change.ID)
	if !ok {
		return 0, fmt.Errorf("change %s has no result yet: %w", change.ID, gypsum.ErrLogUnavailable)
	}
	return revision, err
}
