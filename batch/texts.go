package batch

import (
	"context"
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/gypsumhook/gypsum"
)

// Sizes of answers and of what is kept for readers.
const (
	// maxResponseText bounds the texts of one answer, below the pages' 1 MB with room for
	// the encoding.
	maxResponseText = 700 << 10
	// chunkSize is how much text is read from the store in one call: what a connection
	// with small windows passes between far regions in a part of a reader's time.
	chunkSize = 24 << 10
	// chunkConcurrency bounds the calls for one reader.
	chunkConcurrency = 8
	// chunkTimeout bounds one call; it goes on when its reader has left, so that the
	// next one finds the text.
	chunkTimeout = 4 * time.Second
	// readWait is how long a reader waits for more than the first texts: readers wait
	// 1.5 s longer than they allow (the users' pages), and their way back takes some.
	readWait = 800 * time.Millisecond
	// smallTexts texts of up to smallText bytes and largeKept of up to largeText are kept:
	// some seconds of a site's results, some MB at the most in practice.
	smallTexts   = 512
	maxSmallText = 32 << 10
	largeTexts   = 32
	maxLargeText = 256 << 10
)

// textCache are texts kept for readers.
type textCache struct {
	small, large *lru.Cache[string, string]
}

// newTextCache returns an empty cache.
func newTextCache() (cache textCache, err error) {
	if cache.small, err = lru.New[string, string](smallTexts); err != nil {
		return cache, fmt.Errorf("make cache of texts: %w", err)
	}
	if cache.large, err = lru.New[string, string](largeTexts); err != nil {
		return cache, fmt.Errorf("make cache of long texts: %w", err)
	}
	return cache, nil
}

// add keeps a text, unless it is very long.
func (c *textCache) add(key, text string) {
	switch {
	case len(text) <= maxSmallText:
		c.small.Add(key, text)
	case len(text) <= maxLargeText:
		c.large.Add(key, text)
	}
}

// get returns a kept text.
func (c *textCache) get(key string) (string, bool) {
	if text, ok := c.small.Get(key); ok {
		return text, true
	}
	return c.large.Get(key)
}

// textChunk is a part of the results that is read in one call.
type textChunk struct {
	results []Result
	missing []ValueRef
	texts   map[string]string
	done    chan struct{}
	err     error
}

// readTexts returns results with their texts, as many as one answer holds and as are read
// in a reader's time, the first at least. Load: a host far from the store is asked for
// a batch's long texts at once, which take longer than the reader waits, each time anew.
func (m *Manager) readTexts(ctx context.Context, id gypsum.BatchID, results []Result) ([]gypsum.BatchResult, error) {
	chunks := m.splitChunks(results)
	m.readChunks(ctx, id, chunks)
	timer := time.NewTimer(readWait)
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
				return nil, fmt.Errorf("batch %s: texts not read in time: %w", id, ctx.Err())
			}
		}
		if chunk.err != nil && i > 0 {
			m.Logger.Info("results left out for now", "batch", id, "read", len(read), "of", len(results), "error", chunk.err)
			return read, nil
		}
		if chunk.err != nil {
			return nil, chunk.err
		}
		for j := range chunk.results {
			result := &chunk.results[j]
			read = append(read, gypsum.BatchResult{
				Item: result.Item, State: result.State, Text: chunk.texts[result.Text.Key], Versions: result.Versions,
			})
		}
	}
	return read, nil
}

// splitChunks divides as many results as one answer holds by what has to be read for them.
func (m *Manager) splitChunks(results []Result) []*textChunk {
	var chunks []*textChunk
	current, size, total := (*textChunk)(nil), 0, 0
	for i := range results {
		ref := results[i].Text
		if total += ref.Size; i > 0 && total > maxResponseText {
			break
		}
		text, cached := m.texts.get(ref.Key)
		missing := ref.Count > 0 && !cached
		if current == nil || (missing && size > 0 && size+ref.Size > chunkSize) {
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

// readChunks reads what portions lack, some at a time and the first ones first.
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
	// The reader may leave: what is read is for the next one.
	ctx = context.WithoutCancel(ctx)
	for range min(chunkConcurrency, len(pending)) {
		go func() {
			for chunk := range pending {
				chunk.err = m.readChunk(ctx, id, chunk)
				close(chunk.done)
			}
		}()
	}
}

// readChunk reads what a portion lacks, and keeps it.
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
