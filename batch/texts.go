package batch

import (
	"context"
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/intake"
)

// Sizes and timeouts of reads, and sizes of the cache.
const (
	// maxResponseTextBytes bounds the texts of one response. It is below the documented 1 MB
	// to leave room for the encoding.
	maxResponseTextBytes = 700 << 10
	// textChunkBytes is how much text is read from the store in one call: as much as a
	// connection with small windows transfers between distant regions in a fraction of
	// the time that a reader waits.
	textChunkBytes = 24 << 10
	// maxConcurrentChunks bounds the concurrent calls for one reader.
	maxConcurrentChunks = 8
	// chunkTimeout bounds one call. The call continues after its reader has left, so
	// that the next reader finds the text in the cache.
	chunkTimeout = 4 * time.Second
	// maxTextWait is how long a reader waits for more than the first texts. By the user
	// documentation, readers wait 1.5 s longer than the wait they request, and the
	// response takes part of that to reach them.
	maxTextWait = 800 * time.Millisecond
	// The cache holds maxSmallTexts texts of up to maxSmallTextBytes, and maxLargeTexts of
	// up to maxLargeTextBytes: the results of a deployment for some seconds, and in practice a
	// few MB at most.
	maxSmallTexts     = 512
	maxSmallTextBytes = 32 << 10
	maxLargeTexts     = 32
	maxLargeTextBytes = 256 << 10
)

// textCache holds the texts of results that were stored or read most recently, so that
// reads of results need fewer calls of the store. The texts longer than maxSmallTextBytes are
// in large.
type textCache struct {
	small, large *lru.Cache[string, string]
}

func newTextCache() (cache textCache, err error) {
	if cache.small, err = lru.New[string, string](maxSmallTexts); err != nil {
		return cache, fmt.Errorf("create text cache: %w", err)
	}
	if cache.large, err = lru.New[string, string](maxLargeTexts); err != nil {
		return cache, fmt.Errorf("create long text cache: %w", err)
	}
	return cache, nil
}

// add caches a text, unless it is longer than maxLargeTextBytes.
func (c *textCache) add(key, text string) {
	switch {
	case len(text) <= maxSmallTextBytes:
		c.small.Add(key, text)
	case len(text) <= maxLargeTextBytes:
		c.large.Add(key, text)
	}
}

func (c *textCache) get(key string) (string, bool) {
	if text, ok := c.small.Get(key); ok {
		return text, true
	}
	return c.large.Get(key)
}

// textChunk is a part of the results whose missing texts are read in one call.
type textChunk struct {
	results []Result
	missing []ValueRef
	texts   map[string]string
	done    chan struct{}
	err     error
}

// readTexts returns results with their texts: as many as fit into one response and can be
// read within maxTextWait, but at least the first. Without the limit, a daemon far from the
// store that is asked for the long texts of a batch would need longer than its reader
// waits, on every retry.
//
// The texts count toward the share of the request of ctx. The error is ErrReadsFull if there is no memory
// for them.
func (m *Manager) readTexts(ctx context.Context, id gypsum.BatchID, results []Result) ([]gypsum.BatchResult, error) {
	results = fittingResults(results)
	if err := buffer.Reserve(ctx, resultsMemory(results), intake.StallGrace); err != nil {
		return nil, fmt.Errorf("read texts of batch %s: %w: %w", id, ErrReadsFull, err)
	}
	chunks := m.splitChunks(results)
	m.readChunks(ctx, id, chunks)
	timer := time.NewTimer(maxTextWait)
	defer timer.Stop()
	var read []gypsum.BatchResult
	for i, chunk := range chunks {
		select {
		case <-chunk.done:
		default:
			timeout := timer.C
			if i == 0 {
				timeout = nil
			}
			select {
			case <-chunk.done:
			case <-timeout:
				return read, nil
			case <-ctx.Done():
				if i > 0 {
					return read, nil
				}
				return nil, fmt.Errorf("read texts of batch %s: %w", id, ctx.Err())
			}
		}
		if chunk.err != nil && i > 0 {
			m.Logger.Info("returning partial batch results", "batch", id, "read", len(read), "of", len(results), "error", chunk.err)
			return read, nil
		}
		if chunk.err != nil {
			return nil, chunk.err
		}
		for j := range chunk.results {
			result := &chunk.results[j]
			read = append(read, gypsum.BatchResult{
				Item: result.Item, State: result.State, Text: chunk.texts[result.Text.Key], Versions: result.Versions, Score: result.Score,
			})
		}
	}
	return read, nil
}

// fittingResults returns the first results, as many as fit into one response, but at least one.
func fittingResults(results []Result) []Result {
	total := 0
	for i := range results {
		if total += results[i].Text.Size; i > 0 && total > maxResponseTextBytes {
			return results[:i]
		}
	}
	return results
}

const (
	// textCopies is how many times the texts of a response are held: as read, as text, and encoded.
	textCopies = 3
	// resultBytes is the memory of a result without its text.
	resultBytes = 512
)

// resultsMemory returns an estimate of the memory of a response with results, from the read of their texts on.
func resultsMemory(results []Result) gypsum.Bytes {
	size := len(results) * resultBytes
	for i := range results {
		size += textCopies * results[i].Text.Size
	}
	return gypsum.Bytes(size)
}

// splitChunks divides results by the texts that must be read for them.
func (m *Manager) splitChunks(results []Result) []*textChunk {
	var chunks []*textChunk
	current, size := (*textChunk)(nil), 0
	for i := range results {
		ref := results[i].Text
		text, cached := m.texts.get(ref.Key)
		missing := ref.Count > 0 && !cached
		if current == nil || (missing && size > 0 && size+ref.Size > textChunkBytes) {
			current, size = &textChunk{texts: make(map[string]string), done: make(chan struct{})}, 0
			chunks = append(chunks, current)
		}
		current.results = append(current.results, results[i])
		if missing {
			current.missing = append(current.missing, ref)
			size += ref.Size
		} else {
			current.texts[ref.Key] = text
		}
	}
	return chunks
}

// readChunks reads the missing texts of chunks concurrently, the first ones first.
func (m *Manager) readChunks(ctx context.Context, id gypsum.BatchID, chunks []*textChunk) {
	pending := make(chan *textChunk, len(chunks))
	for _, chunk := range chunks {
		if len(chunk.missing) == 0 {
			close(chunk.done)
		} else {
			pending <- chunk
		}
	}
	close(pending)
	// If the reader leaves, the texts are read for the next one.
	ctx = context.WithoutCancel(ctx)
	for range min(maxConcurrentChunks, len(pending)) {
		go func() {
			for chunk := range pending {
				chunk.err = m.readChunk(ctx, id, chunk)
				close(chunk.done)
			}
		}()
	}
}

// readChunk reads the missing texts of a chunk and caches them.
func (m *Manager) readChunk(ctx context.Context, id gypsum.BatchID, chunk *textChunk) error {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	values, err := m.fetchValues(ctx, m.Topics.Texts, id, chunk.missing...)
	if err != nil {
		return err
	}
	for key, value := range values {
		text := string(value)
		chunk.texts[key] = text
		m.texts.add(key, text)
	}
	return nil
}
