package gypsum

import (
	"fmt"
	"strings"
)

// Joiner joins the chunks of an answer to one text without gaps or doubles,
// over several engines if one goes on where another broke off.
type Joiner struct {
	text     strings.Builder
	tokens   int
	segments []Segment
	finish   string
}

// Resume begins with the tokens of a generation that are known already. Their
// segments are not.
func (j *Joiner) Resume(generation *Generation) {
	j.text.WriteString(generation.ResumeText)
	j.tokens = generation.ResumeTokens
}

// Add takes the next chunk. It returns false for a chunk that was already
// there, and ErrBroken for one behind a gap or an answer's end.
func (j *Joiner) Add(chunk *Chunk) (fresh bool, err error) {
	if chunk.Index+chunk.Tokens <= j.tokens && chunk.Tokens > 0 {
		return false, nil
	}
	if chunk.Index != j.tokens || j.finish != "" {
		return false, fmt.Errorf("chunk at token %d, expected %d: %w", chunk.Index, j.tokens, ErrBroken)
	}
	j.text.WriteString(chunk.Text)
	j.tokens += chunk.Tokens
	j.finish = chunk.Finish
	if chunk.Tokens > 0 {
		j.segments = AddSegment(j.segments, chunk.Version, chunk.Tokens)
	}
	return true, nil
}

// Text returns the text so far.
func (j *Joiner) Text() string { return j.text.String() }

// Tokens returns the number of tokens so far.
func (j *Joiner) Tokens() int { return j.tokens }

// Segments returns the versions that produced the tokens.
func (j *Joiner) Segments() []Segment { return j.segments }

// Finish returns why the answer ended, empty if it has not.
func (j *Joiner) Finish() string { return j.finish }

// Whole tells whether the answer has ended.
func (j *Joiner) Whole() bool { return j.finish != "" }
