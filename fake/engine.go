package fake

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gypsumhook/gypsum"
)

// vocabulary are the tokens of the fake engines.
var vocabulary = strings.Fields("anchor berth cleat deck ebb fender gale hull inlet jib keel lee mast net oar pier quay reef sail tide")

// TokenText returns the text of one token. It depends on the weights' version, so
// that a text proves which versions made it.
func TokenText(prompt string, seed int64, version gypsum.WeightVersion, index int) string {
	hash := gypsum.Hash64(prompt, fmt.Sprint(seed, version, index))
	return vocabulary[hash%uint64(len(vocabulary))] + " "
}

// ResponseLength returns the number of tokens of an answer.
func ResponseLength(prompt string, seed int64, maxTokens int) int {
	hash := gypsum.Hash64("length", prompt, fmt.Sprint(seed))
	return 1 + maxTokens/2 + int(hash%uint64(max(1, maxTokens/2)))
}

// ResponseText returns the answer that the segments' versions give.
func ResponseText(prompt string, seed int64, segments []gypsum.Segment) string {
	var text strings.Builder
	index := 0
	for _, segment := range segments {
		for range segment.Tokens {
			text.WriteString(TokenText(prompt, seed, segment.Version, index))
			index++
		}
	}
	return text.String()
}

// ResponseFault is a fault of an engine's answers.
type ResponseFault int

// The faults of answers.
const (
	// ResponseGap leaves out a chunk.
	ResponseGap ResponseFault = iota + 1
	// ResponseDuplicated gives each chunk twice.
	ResponseDuplicated
	// ResponseTruncated ends the stream without its last chunk.
	ResponseTruncated
	// ResponseMismatched gives the answer of another request.
	ResponseMismatched
	// ResponseUnversioned reports no version.
	ResponseUnversioned
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
	// IgnoreFencing accepts orders with old fencing numbers.
	IgnoreFencing bool
	// PoisonText is a part of a prompt that crashes the engine.
	PoisonText string
	// StragglerEvery makes one answer in so many ten times slower, 0 for none.
	StragglerEvery int
	// ReportLag is how old load reports are.
	ReportLag time.Duration

	process

	version          gypsum.WeightVersion
	fencingToken     gypsum.Offset
	running          int
	waiting          []chan struct{}
	swapping         bool
	leaving          bool
	responseFault    ResponseFault
	swapsToFail      int
	started          int
	loadOrders       []gypsum.LoadOrder
	report           gypsum.LoadReport
	reportTime       time.Time
	cacheEventNumber int64
	startTimes       []time.Time
	generatedTokens  int64
}

// GeneratedTokens returns the number of tokens generated.
func (e *Engine) GeneratedTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generatedTokens
}

// NewEngine returns an engine with version 1 of its weights.
func NewEngine(slots int, tokenTime time.Duration) *Engine {
	engine := &Engine{
		Slots: slots, TokenTime: tokenTime, ChunkTokens: 4, SwapTime: 200 * time.Millisecond, version: 1, fencingToken: -1,
	}
	engine.start(func() {
		engine.running, engine.waiting, engine.swapping, engine.reportTime = 0, nil, false, time.Time{}
	})
	return engine
}

// SetResponseFault puts the engine's answers into a fault, 0 ends it.
func (e *Engine) SetResponseFault(fault ResponseFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responseFault = fault
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
	e.swapsToFail = count
}

// Version returns the weights' version.
func (e *Engine) Version() gypsum.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// LoadOrders returns all orders that were carried out.
func (e *Engine) LoadOrders() []gypsum.LoadOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]gypsum.LoadOrder{}, e.loadOrders...)
}

// StartTimes returns when generations began.
func (e *Engine) StartTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time{}, e.startTimes...)
}

// FetchLoad returns the engine's report, as old as Lag.
func (e *Engine) FetchLoad(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := e.awaitRunning(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportTime.IsZero() || time.Since(e.reportTime) >= e.ReportLag {
		e.reportTime = time.Now()
		e.report = gypsum.LoadReport{
			Incarnation: e.incarnation, Running: e.running, Waiting: len(e.waiting), Slots: e.Slots,
			Version: e.version, SwappingWeights: e.swapping, FencingToken: e.fencingToken, CacheEventNumber: e.cacheEventNumber,
		}
	}
	report := e.report
	report.Leaving = e.leaving
	return &report, nil
}

// SendLoadOrder changes the weights.
func (e *Engine) SendLoadOrder(ctx context.Context, order gypsum.LoadOrder) error {
	if err := e.awaitRunning(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingToken < e.fencingToken && !e.IgnoreFencing {
		return fmt.Errorf("order with fence %d, newest is %d: %w", order.FencingToken, e.fencingToken, gypsum.ErrStaleFencingToken)
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	e.loadOrders = append(e.loadOrders, order)
	if e.swapping || e.version == order.Version {
		return nil
	}
	e.swapping = true
	crashed := e.crashed
	time.AfterFunc(e.SwapTime, func() { e.finishSwap(order, crashed) })
	return nil
}

// finishSwap finishes a change of weights, unless it fails or the process died.
func (e *Engine) finishSwap(order gypsum.LoadOrder, crashed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != crashed || e.down {
		return
	}
	e.swapping = false
	if e.swapsToFail > 0 {
		e.swapsToFail--
		return
	}
	e.version = order.Version
}

// Generate gives the tokens of an answer. A change of weights in the midst
// shows in the versions of the later chunks.
func (e *Engine) Generate(ctx context.Context, generation *gypsum.Generation, sink func(*gypsum.Chunk) error) error {
	if err := e.awaitRunning(ctx); err != nil {
		return err
	}
	crashed, err := e.acquireSlot(ctx, generation)
	if err != nil {
		return err
	}
	defer e.releaseSlot(crashed)
	return e.streamChunks(ctx, generation, crashed, sink)
}

// acquireSlot waits for a slot. Engines admit what arrives, in order.
func (e *Engine) acquireSlot(ctx context.Context, generation *gypsum.Generation) (chan struct{}, error) {
	e.mu.Lock()
	crashed := e.crashed
	e.startTimes = append(e.startTimes, time.Now())
	e.cacheEventNumber++
	if e.PoisonText != "" && strings.Contains(generation.Prompt, e.PoisonText) {
		e.crash()
		e.mu.Unlock()
		return nil, fmt.Errorf("engine died: %w", gypsum.ErrIncompleteResponse)
	}
	if e.running < e.Slots {
		e.running++
		e.mu.Unlock()
		return crashed, nil
	}
	granted := make(chan struct{})
	e.waiting = append(e.waiting, granted)
	e.mu.Unlock()
	select {
	case <-granted:
		return crashed, nil
	case <-crashed:
		return nil, fmt.Errorf("engine died: %w", gypsum.ErrIncompleteResponse)
	case <-ctx.Done():
		e.cancelWait(granted)
		return nil, ctx.Err()
	}
}

// cancelWait takes a waiting request out, or passes its turn on.
func (e *Engine) cancelWait(granted chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, waiter := range e.waiting {
		if waiter == granted {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	e.releaseSlotLocked()
}

// releaseSlot frees a slot.
func (e *Engine) releaseSlot(crashed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == crashed && !e.down {
		e.releaseSlotLocked()
	}
}

// releaseSlotLocked gives a freed slot to the oldest waiting request. The caller holds mu.
func (e *Engine) releaseSlotLocked() {
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

// streamChunks gives the chunks.
func (e *Engine) streamChunks(ctx context.Context, generation *gypsum.Generation, crashed chan struct{}, sink func(*gypsum.Chunk) error) error {
	length := ResponseLength(generation.Prompt, generation.Seed, generation.MaxTokens)
	tokenTime := e.TokenTime
	if e.StragglerEvery > 0 && gypsum.Hash64(string(generation.ID))%uint64(e.StragglerEvery) == 0 {
		tokenTime *= 10
	}
	for index := generation.ResumeTokens; index < length; {
		count := min(e.ChunkTokens, length-index)
		if err := e.simulateWork(ctx, crashed, tokenTime*time.Duration(count)); err != nil {
			return err
		}
		chunk := e.generateChunk(generation, index, count, length)
		index += count
		if err := e.sendChunk(chunk, sink); err != nil {
			return err
		}
	}
	return nil
}

// generateChunk returns the tokens from index on.
func (e *Engine) generateChunk(generation *gypsum.Generation, index, count, length int) *gypsum.Chunk {
	e.mu.Lock()
	version := e.version
	e.generatedTokens += int64(count)
	e.mu.Unlock()
	chunk := &gypsum.Chunk{Index: index, Tokens: count, Version: version}
	for i := range count {
		chunk.Text += TokenText(generation.Prompt, generation.Seed, version, index+i)
	}
	if index+count >= length {
		chunk.FinishReason = "stop"
	}
	return chunk
}

// sendChunk hands a chunk over, with the present fault of answers.
func (e *Engine) sendChunk(chunk *gypsum.Chunk, sink func(*gypsum.Chunk) error) error {
	e.mu.Lock()
	fault := e.responseFault
	e.mu.Unlock()
	switch {
	case fault == ResponseGap && chunk.Index > 0 && chunk.FinishReason == "":
		return nil
	case fault == ResponseTruncated && chunk.FinishReason != "":
		return fmt.Errorf("stream ended early: %w", gypsum.ErrIncompleteResponse)
	case fault == ResponseMismatched:
		return fmt.Errorf("chunk of another request: %w", gypsum.ErrResponseMismatch)
	case fault == ResponseUnversioned:
		chunk.Version = 0
	case fault == ResponseDuplicated:
		if err := sink(chunk); err != nil {
			return err
		}
	}
	return sink(chunk)
}
