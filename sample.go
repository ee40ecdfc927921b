package gypsum

import (
	"fmt"
	"time"
)

// Slot is the place of one sample in a plan.
type Slot struct {
	Step  int `json:"step"`
	Group int `json:"group"`
	Index int `json:"index"`
}

// String returns the slot as step/group/index.
func (s Slot) String() string {
	return fmt.Sprintf("%d/%d/%d", s.Step, s.Group, s.Index)
}

// Segment is a run of tokens that one version of the weights produced.
type Segment struct {
	Version WeightVersion `json:"version"`
	Tokens  int           `json:"tokens"`
}

// Sample is a finished answer for a slot of a plan.
type Sample struct {
	Plan     PlanName  `json:"plan"`
	Slot     Slot      `json:"slot"`
	Prompt   string    `json:"prompt"`
	Seed     int64     `json:"seed"`
	Text     string    `json:"text"`
	Segments []Segment `json:"segments"`
	Backend  BackendID `json:"backend"`
	// Score is set if the plan names a scoring service.
	Score *float64 `json:"score,omitempty"`
}

// OldestVersion returns the oldest version that produced a part of the sample.
func (s *Sample) OldestVersion() WeightVersion {
	oldest := s.Segments[0].Version
	for _, segment := range s.Segments {
		oldest = min(oldest, segment.Version)
	}
	return oldest
}

// AppendSegment returns segments with a further run of tokens.
func AppendSegment(segments []Segment, version WeightVersion, tokens int) []Segment {
	if last := len(segments) - 1; last >= 0 && segments[last].Version == version {
		segments[last].Tokens += tokens
		return segments
	}
	return append(segments, Segment{Version: version, Tokens: tokens})
}

// PullRequest is a trainer's request for samples of a step.
type PullRequest struct {
	Plan PlanName `json:"plan"`
	// Session is the trainer's start, Number the pull within it. An answer to
	// any pull but the newest is to be dropped by the trainer.
	Session Incarnation   `json:"session"`
	Number  int64         `json:"number"`
	Step    int           `json:"step"`
	Version WeightVersion `json:"version"`
	// ReceivedSlots are the slots of the step that the trainer already has.
	ReceivedSlots []Slot        `json:"holds,omitempty"`
	Wait          time.Duration `json:"wait"`
	// Prompts replace the plan's prompts for this step, one for each group.
	Prompts []string `json:"prompts,omitempty"`
}

// PullResponse is the answer to a pull.
type PullResponse struct {
	Session Incarnation `json:"session"`
	Number  int64       `json:"number"`
	Samples []*Sample   `json:"samples"`
	// Missing is the number of slots of the step still without a sample.
	Missing int `json:"missing"`
}
