package gypsum

import (
	"fmt"
	"strings"
)

// ResponseAssembler joins the chunks of an answer to one text without gaps or doubles,
// over several engines if one goes on where another broke off.
type ResponseAssembler struct {
	text         strings.Builder
	tokens       int
	segments     []Segment
	finishReason string
}

// Resume begins with the tokens of a generation that are known already. Their
// segments are not.
func (a *ResponseAssembler) Resume(generation *Generation) {
	a.text.WriteString(generation.ResumeText)
	a.tokens = generation.ResumeTokens
}

// Append takes the next chunk. It returns false for a chunk that was already
// there, and ErrIncompleteResponse for one behind a gap or an answer's end.
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

// Segments returns the versions that produced the tokens.
func (a *ResponseAssembler) Segments() []Segment { return a.segments }

// FinishReason returns why the answer ended, empty if it has not.
func (a *ResponseAssembler) FinishReason() string { return a.finishReason }

// Complete tells whether the answer has ended.
func (a *ResponseAssembler) Complete() bool { return a.finishReason != "" }
