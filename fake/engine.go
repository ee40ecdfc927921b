package fake

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gypsumhook/gypsum"
)

// vocabulary is the list of tokens that the engines generate.
var vocabulary = strings.Fields("anchor berth cleat deck ebb fender gale hull inlet jib keel lee mast net oar pier quay reef sail tide")

// TokenText returns the text of one token. It depends on the weight version, so that a
// text proves which versions generated it.
func TokenText(prompt string, seed int64, version gypsum.WeightVersion, index int) string {
	hash := gypsum.Hash64(prompt, fmt.Sprint(seed, version, index))
	return vocabulary[hash%uint64(len(vocabulary))] + " "
}

// ResponseLength returns the number of tokens of a response, between half of maxTokens
// and maxTokens.
func ResponseLength(prompt string, seed int64, maxTokens int) int {
	hash := gypsum.Hash64("length", prompt, fmt.Sprint(seed))
	return 1 + maxTokens/2 + int(hash%uint64(max(1, maxTokens/2)))
}

// ResponseText returns the text that the weight versions of the segments generate.
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

// ResponseFault is a fault in the responses of an engine.
type ResponseFault int

// The faults of responses.
const (
	// ResponseGap drops all chunks between the first and the last.
	ResponseGap ResponseFault = iota + 1
	// ResponseDuplicated sends each chunk twice.
	ResponseDuplicated
	// ResponseTruncated ends the stream before its last chunk.
	ResponseTruncated
	// ResponseMismatched sends the response to another request.
	ResponseMismatched
	// ResponseUnversioned omits the weight version.
	ResponseUnversioned
)

// Engine is an in-memory model engine. It implements gypsum.Engine. Set the exported
// fields before use.
type Engine struct {
	Slots int
	// TokenTime is the time to generate one token, whatever the number of slots in use.
	TokenTime time.Duration
	// ChunkTokens is the number of tokens in a chunk.
	ChunkTokens int
	// LoadTime is how long the engine takes to load weights.
	LoadTime time.Duration
	// IgnoreFencing makes the engine accept load orders with old fencing tokens.
	IgnoreFencing bool
	// PoisonText crashes the engine if a prompt contains it. Empty for none. SetPoisonText
	// changes it while the engine runs.
	PoisonText string
	// StragglerEvery makes one response in this many ten times slower. 0 for none.
	StragglerEvery int
	// ReportLag is the maximum age of load reports. Their field Leaving is always current.
	ReportLag time.Duration

	process

	version          gypsum.WeightVersion
	fencingToken     gypsum.Offset
	running          int
	slotWaiters      []chan struct{}
	loadingWeights   bool
	leaving          bool
	responseFault    ResponseFault
	loadsToFail      int
	loadOrders       []gypsum.LoadOrder
	report           gypsum.LoadReport
	reportTime       time.Time
	cacheEventNumber int64
	arrivalTimes     []time.Time
	generatedTokens  int64
}

// GeneratedTokens returns the number of tokens generated.
func (e *Engine) GeneratedTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generatedTokens
}

// NewEngine returns an engine that has loaded weight version 1.
func NewEngine(slots int, tokenTime time.Duration) *Engine {
	engine := &Engine{
		Slots: slots, TokenTime: tokenTime, ChunkTokens: 4, LoadTime: 200 * time.Millisecond, version: 1, fencingToken: -1,
	}
	engine.initProcess(func() {
		engine.running, engine.slotWaiters, engine.loadingWeights, engine.reportTime = 0, nil, false, time.Time{}
	})
	return engine
}

// SetResponseFault injects a fault into all responses. 0 clears it.
func (e *Engine) SetResponseFault(fault ResponseFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responseFault = fault
}

// SetPoisonText sets PoisonText.
func (e *Engine) SetPoisonText(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.PoisonText = text
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetVersion sets the weight version without a load order.
func (e *Engine) SetVersion(version gypsum.WeightVersion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

// FailLoads makes the next count loads of weights fail.
func (e *Engine) FailLoads(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadsToFail = count
}

// Version returns the loaded weight version.
func (e *Engine) Version() gypsum.WeightVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// LoadOrders returns all load orders that were accepted, including those that started no
// load of weights.
func (e *Engine) LoadOrders() []gypsum.LoadOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]gypsum.LoadOrder{}, e.loadOrders...)
}

// ArrivalTimes returns when each request for a generation arrived.
func (e *Engine) ArrivalTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time{}, e.arrivalTimes...)
}

// FetchLoadReport implements gypsum.Engine. The report is up to ReportLag old.
func (e *Engine) FetchLoadReport(ctx context.Context) (*gypsum.LoadReport, error) {
	if err := e.awaitRunning(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportTime.IsZero() || time.Since(e.reportTime) >= e.ReportLag {
		e.reportTime = time.Now()
		e.report = gypsum.LoadReport{
			Incarnation: e.incarnation, Running: e.running, Waiting: len(e.slotWaiters), Slots: e.Slots,
			Version: e.version, LoadingWeights: e.loadingWeights, FencingToken: e.fencingToken, CacheEventNumber: e.cacheEventNumber,
		}
	}
	report := e.report
	report.Leaving = e.leaving
	return &report, nil
}

// SendLoadOrder implements gypsum.Engine. It starts a load of weights that takes
// LoadTime, unless one is in progress or the version is loaded already. In these cases the
// order is accepted as well, but starts no load.
func (e *Engine) SendLoadOrder(ctx context.Context, order gypsum.LoadOrder) error {
	if err := e.awaitRunning(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingToken < e.fencingToken && !e.IgnoreFencing {
		return fmt.Errorf("load order with fencing token %d, newest is %d: %w", order.FencingToken, e.fencingToken, gypsum.ErrStaleFencingToken)
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	e.loadOrders = append(e.loadOrders, order)
	if e.loadingWeights || e.version == order.Version {
		return nil
	}
	e.loadingWeights = true
	crashed := e.crashed
	time.AfterFunc(e.LoadTime, func() { e.finishLoad(order, crashed) })
	return nil
}

// finishLoad ends a load of weights. The version stays as it was if the load fails, as
// FailLoads requests, or if the process has crashed since the load started.
func (e *Engine) finishLoad(order gypsum.LoadOrder, crashed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != crashed || e.down {
		return
	}
	e.loadingWeights = false
	if e.loadsToFail > 0 {
		e.loadsToFail--
		return
	}
	e.version = order.Version
}

// Generate implements gypsum.Engine. If a load of weights ends in the middle of a
// response, the later chunks are generated by the new version and report it.
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

// acquireSlot waits for a slot, first come, first served. It returns the channel that is
// closed when the engine crashes.
func (e *Engine) acquireSlot(ctx context.Context, generation *gypsum.Generation) (chan struct{}, error) {
	e.mu.Lock()
	crashed := e.crashed
	e.arrivalTimes = append(e.arrivalTimes, time.Now())
	e.cacheEventNumber++
	if e.PoisonText != "" && strings.Contains(generation.Prompt, e.PoisonText) {
		e.crashLocked()
		e.mu.Unlock()
		return nil, fmt.Errorf("engine crashed: %w", gypsum.ErrIncompleteResponse)
	}
	if e.running < e.Slots {
		e.running++
		e.mu.Unlock()
		return crashed, nil
	}
	granted := make(chan struct{})
	e.slotWaiters = append(e.slotWaiters, granted)
	e.mu.Unlock()
	select {
	case <-granted:
		return crashed, nil
	case <-crashed:
		return nil, fmt.Errorf("engine crashed: %w", gypsum.ErrIncompleteResponse)
	case <-ctx.Done():
		e.cancelWait(granted)
		return nil, ctx.Err()
	}
}

// cancelWait removes a waiting request from the queue. If the request has been granted a
// slot meanwhile, cancelWait releases the slot.
func (e *Engine) cancelWait(granted chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, waiter := range e.slotWaiters {
		if waiter == granted {
			e.slotWaiters = append(e.slotWaiters[:i], e.slotWaiters[i+1:]...)
			return
		}
	}
	e.releaseSlotLocked()
}

// releaseSlot releases a slot, unless the engine has crashed since it was acquired.
func (e *Engine) releaseSlot(crashed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == crashed && !e.down {
		e.releaseSlotLocked()
	}
}

// releaseSlotLocked releases a slot or grants it to the oldest waiting request. The
// caller holds mu.
func (e *Engine) releaseSlotLocked() {
	if len(e.slotWaiters) > 0 {
		close(e.slotWaiters[0])
		e.slotWaiters = e.slotWaiters[1:]
		return
	}
	e.running--
}

// streamChunks generates the response from ResumeTokens on and passes it to sink.
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

// generateChunk returns the chunk of count tokens from index on.
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

// sendChunk passes a chunk to sink, changed by the response fault in effect.
func (e *Engine) sendChunk(chunk *gypsum.Chunk, sink func(*gypsum.Chunk) error) error {
	e.mu.Lock()
	fault := e.responseFault
	e.mu.Unlock()
	switch {
	case fault == ResponseGap && chunk.Index > 0 && chunk.FinishReason == "":
		return nil
	case fault == ResponseTruncated && chunk.FinishReason != "":
		return fmt.Errorf("completion stream ended early: %w", gypsum.ErrIncompleteResponse)
	case fault == ResponseMismatched:
		return fmt.Errorf("chunk has the wrong request ID: %w", gypsum.ErrResponseMismatch)
	case fault == ResponseUnversioned:
		chunk.Version = 0
	case fault == ResponseDuplicated:
		if err := sink(chunk); err != nil {
			return err
		}
	}
	return sink(chunk)
}
