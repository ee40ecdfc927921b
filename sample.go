package gypsum

import (
	"fmt"
	"time"
)

// Slot identifies one sample of a plan.
type Slot struct {
	Step  int `json:"step"`
	Group int `json:"group"`
	Index int `json:"index"`
}

// String returns the slot as step/group/index.
func (s Slot) String() string {
	return fmt.Sprintf("%d/%d/%d", s.Step, s.Group, s.Index)
}

// Segment is a sequence of tokens that one weight version produced.
type Segment struct {
	Version WeightVersion `json:"version"`
	Tokens  int           `json:"tokens"`
}

// Sample is the finished response for a slot of a plan.
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

// OldestVersion returns the oldest weight version that produced tokens of the sample.
// The sample must have at least one segment.
func (s *Sample) OldestVersion() WeightVersion {
	oldest := s.Segments[0].Version
	for _, segment := range s.Segments {
		oldest = min(oldest, segment.Version)
	}
	return oldest
}

// AppendSegment returns segments extended by tokens of a version. It may modify the
// last element.
func AppendSegment(segments []Segment, version WeightVersion, tokens int) []Segment {
	if last := len(segments) - 1; last >= 0 && segments[last].Version == version {
		segments[last].Tokens += tokens
		return segments
	}
	return append(segments, Segment{Version: version, Tokens: tokens})
}

// PullRequest is a trainer's request for the samples of a step.
type PullRequest struct {
	Plan PlanName `json:"plan"`
	// Session identifies the start of the trainer, Number the pull within it. The
	// trainer drops responses to all but its newest pull.
	Session Incarnation   `json:"session"`
	Number  int64         `json:"number"`
	Step    int           `json:"step"`
	Version WeightVersion `json:"version"`
	// ReceivedSlots are the slots of the step whose samples the trainer already has.
	ReceivedSlots []Slot        `json:"holds,omitempty"`
	Wait          time.Duration `json:"wait"`
	// Prompts replace the plan's prompts for this step, one for each group.
	Prompts []string `json:"prompts,omitempty"`
}

// PullResponse is the response to a pull.
type PullResponse struct {
	Session Incarnation `json:"session"`
	Number  int64       `json:"number"`
	Samples []*Sample   `json:"samples"`
	// Missing is the number of slots of the step still without a sample.
	Missing int `json:"missing"`
}
