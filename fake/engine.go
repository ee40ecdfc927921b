package fake

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gypsumhook/gypsum"
)

// words are the tokens of the fake engines.
var words = strings.Fields("anchor berth cleat deck ebb fender gale hull inlet jib keel lee mast net oar pier quay reef sail tide")

// Token returns the text of one token. It depends on the weights' version, so
// that a text proves which versions made it.
func Token(prompt string, seed int64, version gypsum.WeightVersion, index int) string {
	hash := gypsum.Hash64(prompt, fmt.Sprint(seed, version, index))
	return words[hash%uint64(len(words))] + " "
}

// Length returns the number of tokens of an answer.
func Length(prompt string, seed int64, maxTokens int) int {
	hash := gypsum.Hash64("length", prompt, fmt.Sprint(seed))
	return 1 + maxTokens/2 + int(hash%uint64(max(1, maxTokens/2)))
}

// Text returns the answer that the segments' versions give.
func Text(prompt string, seed int64, segments []gypsum.Segment) string {
	var text strings.Builder
	index := 0
	for _, segment := range segments {
		for range segment.Tokens {
			text.WriteString(Token(prompt, seed, segment.Version, index))
			index++
		}
	}
	return text.String()
}

// Answer is a fault of an engine's answers.
type Answer int

// The faults of answers.
const (
	// AnswerGap leaves out a chunk.
	AnswerGap Answer = iota + 1
	// AnswerTwice gives each chunk twice.
	AnswerTwice
	// AnswerCut ends the stream without its last chunk.
	AnswerCut
	// AnswerCrossed gives the answer of another request.
	AnswerCrossed
	// AnswerUnversioned reports no version.
	AnswerUnversioned
)

// Engine is a model engine in memory. Set the exported fields before use.
type Engine struct {
	Slots int
	// TokenTime is the time of one token with all slots in use or fewer.
	TokenTime time.Duration
	// ChunkTokens is the number of tokens in a chunk.
	ChunkTokens int
	// SwapTime is the time of a change of weights.
	SwapTime time.Duration
	// IgnoreFence accepts orders with old fencing numbers.
	IgnoreFence bool
	// Poison is a part of a prompt that crashes the engine.
	Poison string
	// Straggle makes one answer in so many ten times slower, 0 for none.
	Straggle int
	// Lag is how old load reports are.
	Lag time.Duration

	process

	version    gypsum.WeightVersion
	fence      gypsum.Offset
	running    int
	waiting    []chan struct{}
	swapping   bool
	leaving    bool
	fault      Answer
	failSwaps  int
	started    int
	orders     []gypsum.LoadOrder
	report     gypsum.LoadReport
	reportAt   time.Time
	cacheEvent int64
	newWork    []time.Time
	tokens     int64
}

// Tokens returns the number of tokens generated.
func (e *Engine) Tokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// NewEngine returns an engine with version 1 of its weights.
func NewEngine(slots int, tokenTime time.Duration) *Engine {
	engine := &Engine{
		Slots: slots, TokenTime: tokenTime, ChunkTokens: 4, SwapTime: 200 * time.Millisecond, version: 1, fence: -1,
	}
	engine.begin(func() {
		engine.running, engine.waiting, engine.swapping, engine.reportAt = 0, nil, false, time.Time{}
	})
	return engine
}

// SetAnswer puts the engine's answers into a fault, 0 ends it.
func (e *Engine) SetAnswer(fault Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

// SetLeaving makes the engine say that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetVersion sets the weights without an order.
func (e *Engine) SetVersion(version gypsum.WeightVersion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

// FailSwaps makes the next changes of weights fail.
func (e *Engine) FailSwaps(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failSwaps = count
}

// Version returns the weights' version.
func (e *Engine) Version() gypsum.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Orders returns all orders that were carried out.
func (e *Engine) Orders() []gypsum.LoadOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]gypsum.LoadOrder{}, e.orders...)
}

// NewWork returns when generations began.
func (e *Engine) NewWork() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time{}, e.newWork...)
}

// FetchLoad returns the engine's report, as old as Lag.
func (e *Engine) FetchLoad(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := e.reach(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportAt.IsZero() || time.Since(e.reportAt) >= e.Lag {
		e.reportAt = time.Now()
		e.report = gypsum.LoadReport{
			Incarnation: e.incarnation, Running: e.running, Waiting: len(e.waiting), Slots: e.Slots,
			Version: e.version, SwappingWeights: e.swapping, FencingToken: e.fence, CacheEventNumber: e.cacheEvent,
		}
	}
	report := e.report
	report.Leaving = e.leaving
	return &report, nil
}

// SendLoadOrder changes the weights.
func (e *Engine) SendLoadOrder(ctx context.Context, order gypsum.LoadOrder) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingToken < e.fence && !e.IgnoreFence {
		return fmt.Errorf("order with fence %d, newest is %d: %w", order.FencingToken, e.fence, gypsum.ErrStaleFencingToken)
	}
	e.fence = max(e.fence, order.FencingToken)
	e.orders = append(e.orders, order)
	if e.swapping || e.version == order.Version {
		return nil
	}
	e.swapping = true
	crashed := e.crashed
	time.AfterFunc(e.SwapTime, func() { e.endSwap(order, crashed) })
	return nil
}

// endSwap finishes a change of weights, unless it fails or the process died.
func (e *Engine) endSwap(order gypsum.LoadOrder, crashed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != crashed || e.down {
		return
	}
	e.swapping = false
	if e.failSwaps > 0 {
		e.failSwaps--
		return
	}
	e.version = order.Version
}

// Generate gives the tokens of an answer. A change of weights in the midst
// shows in the versions of the later chunks.
func (e *Engine) Generate(ctx context.Context, generation *gypsum.Generation, sink func(*gypsum.Chunk) error) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	crashed, err := e.enter(ctx, generation)
	if err != nil {
		return err
	}
	defer e.leave(crashed)
	return e.stream(ctx, generation, crashed, sink)
}

// enter waits for a slot. Engines admit what arrives, in order.
func (e *Engine) enter(ctx context.Context, generation *gypsum.Generation) (chan struct{}, error) {
	e.mu.Lock()
	crashed := e.crashed
	e.newWork = append(e.newWork, time.Now())
	e.cacheEvent++
	if e.Poison != "" && strings.Contains(generation.Prompt, e.Poison) {
		e.crash()
		e.mu.Unlock()
		return nil, fmt.Errorf("engine died: %w", gypsum.ErrIncompleteResponse)
	}
	if e.running < e.Slots {
		e.running++
		e.mu.Unlock()
		return crashed, nil
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return crashed, nil
	case <-crashed:
		return nil, fmt.Errorf("engine died: %w", gypsum.ErrIncompleteResponse)
	case <-ctx.Done():
		e.giveUp(turn)
		return nil, ctx.Err()
	}
}

// giveUp takes a waiting request out, or passes its turn on.
func (e *Engine) giveUp(turn chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting {
		if other == turn {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	e.next()
}

// leave frees a slot.
func (e *Engine) leave(crashed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == crashed && !e.down {
		e.next()
	}
}

// next gives a freed slot to the oldest waiting request. The caller holds mu.
func (e *Engine) next() {
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

// stream gives the chunks.
func (e *Engine) stream(ctx context.Context, generation *gypsum.Generation, crashed chan struct{}, sink func(*gypsum.Chunk) error) error {
	length := Length(generation.Prompt, generation.Seed, generation.MaxTokens)
	pace := e.TokenTime
	if e.Straggle > 0 && gypsum.Hash64(string(generation.ID))%uint64(e.Straggle) == 0 {
		pace *= 10
	}
	for index := generation.ResumeTokens; index < length; {
		count := min(e.ChunkTokens, length-index)
		if err := e.wait(ctx, crashed, pace*time.Duration(count)); err != nil {
			return err
		}
		chunk := e.chunk(generation, index, count, length)
		index += count
		if err := e.give(chunk, sink); err != nil {
			return err
		}
	}
	return nil
}

// chunk returns the tokens from index on.
func (e *Engine) chunk(generation *gypsum.Generation, index, count, length int) *gypsum.Chunk {
	e.mu.Lock()
	version := e.version
	e.tokens += int64(count)
	e.mu.Unlock()
	chunk := &gypsum.Chunk{Index: index, Tokens: count, Version: version}
	for i := range count {
		chunk.Text += Token(generation.Prompt, generation.Seed, version, index+i)
	}
	if index+count >= length {
		chunk.FinishReason = "stop"
	}
	return chunk
}

// give hands a chunk over, with the present fault of answers.
func (e *Engine) give(chunk *gypsum.Chunk, sink func(*gypsum.Chunk) error) error {
	e.mu.Lock()
	fault := e.fault
	e.mu.Unlock()
	switch {
	case fault == AnswerGap && chunk.Index > 0 && chunk.FinishReason == "":
		return nil
	case fault == AnswerCut && chunk.FinishReason != "":
		return fmt.Errorf("stream ended early: %w", gypsum.ErrIncompleteResponse)
	case fault == AnswerCrossed:
		return fmt.Errorf("chunk of another request: %w", gypsum.ErrResponseMismatch)
	case fault == AnswerUnversioned:
		chunk.Version = 0
	case fault == AnswerTwice:
		if err := sink(chunk); err != nil {
			return err
		}
	}
	return sink(chunk)
}
