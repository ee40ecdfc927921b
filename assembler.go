package gypsum

import (
	"fmt"
	"strings"
)

// ResponseAssembler joins the chunks of a response into one text without gaps or
// duplicates, also across engines when one resumes what another left incomplete.
type ResponseAssembler struct {
	text         strings.Builder
	tokens       int
	segments     []Segment
	finishReason string
}

// Resume starts the text with the tokens that an earlier engine generated. Segments does
// not include them, since the weight versions that produced them are not known here.
func (a *ResponseAssembler) Resume(generation *Generation) {
	a.text.WriteString(generation.ResumeText)
	a.tokens = generation.ResumeTokens
}

// Append adds the next chunk. It returns false for a duplicate chunk, and
// ErrIncompleteResponse for a chunk that follows a gap or the end of the response.
func (a *ResponseAssembler) Append(chunk *Chunk) (isNew bool, err error) {
	if chunk.Index+chunk.Tokens <= a.tokens && chunk.Tokens > 0 {
		return false, nil
	}
	if chunk.Index != a.tokens || a.finishReason != "" {
		return false, fmt.Errorf("chunk at token %d, expected %d: %w", chunk.Index, a.tokens, ErrIncompleteResponse)
	}
	a.text.WriteString(chunk.Text)
	a.tokens += chunk.Tokens
	a.finishReason = chunk.FinishReason
	if chunk.Tokens > 0 {
		a.segments = AppendSegment(a.segments, chunk.Version, chunk.Tokens)
	}
	return true, nil
}

// Text returns the text so far.
func (a *ResponseAssembler) Text() string { return a.text.String() }

// Tokens returns the number of tokens so far.
func (a *ResponseAssembler) Tokens() int { return a.tokens }

// Segments returns the weight versions that produced the tokens, in order, without the
// tokens passed to Resume.
func (a *ResponseAssembler) Segments() []Segment { return a.segments }

// FinishReason returns why the response ended, empty if it has not ended.
func (a *ResponseAssembler) FinishReason() string { return a.finishReason }

// IsComplete reports whether the response has ended.
func (a *ResponseAssembler) IsComplete() bool { return a.finishReason != "" }
