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
	// maxAnswer bounds the texts of one answer, below the pages' 1 MB with room for
	// the encoding.
	maxAnswer = 700 << 10
	// portionSize is how much text is read from the store in one call: what a connection
	// with small windows passes between far regions in a part of a reader's time.
	portionSize = 24 << 10
	// portionsAtOnce bounds the calls for one reader.
	portionsAtOnce = 8
	// portionTime bounds one call; it goes on when its reader has left, so that the
	// next one finds the text.
	portionTime = 4 * time.Second
	// readPatience is how long a reader waits for more than the first texts: readers wait
	// 1.5 s longer than they allow (the users' pages), and their way back takes some.
	readPatience = 800 * time.Millisecond
	// smallKept texts of up to smallText bytes and largeKept of up to largeText are kept:
	// some seconds of a site's results, some MB at the most in practice.
	smallKept = 512
	smallText = 32 << 10
	largeKept = 32
	largeText = 256 << 10
)

// keptTexts are texts kept for readers.
type keptTexts struct {
	small, large *lru.Cache[string, string]
}

// newKeptTexts returns an empty cache.
func newKeptTexts() (kept keptTexts, err error) {
	if kept.small, err = lru.New[string, string](smallKept); err != nil {
		return kept, fmt.Errorf("make cache of texts: %w", err)
	}
	if kept.large, err = lru.New[string, string](largeKept); err != nil {
		return kept, fmt.Errorf("make cache of long texts: %w", err)
	}
	return kept, nil
}

// add keeps a text, unless it is very long.
func (k *keptTexts) add(key, text string) {
	switch {
	case len(text) <= smallText:
		k.small.Add(key, text)
	case len(text) <= largeText:
		k.large.Add(key, text)
	}
}

// get returns a kept text.
func (k *keptTexts) get(key string) (string, bool) {
	if text, ok := k.small.Get(key); ok {
		return text, true
	}
	return k.large.Get(key)
}

// portion is a part of the results that is read in one call.
type portion struct {
	results []Result
	missing []Stored
	texts   map[string]string
	done    chan struct{}
	err     error
}

// readTexts returns results with their texts, as many as one answer holds and as are read
// in a reader's time, the first at least. Load: a host far from the store is asked for
// a batch's long texts at once, which take longer than the reader waits, each time anew.
func (m *Manager) readTexts(ctx context.Context, id gypsum.BatchID, results []Result) ([]gypsum.BatchResult, error) {
	portions := m.portions(results)
	m.readPortions(ctx, id, portions)
	patience := time.NewTimer(readPatience)
	defer patience.Stop()
	var read []gypsum.BatchResult
	for i, next := range portions {
		select {
		case <-next.done:
		default:
			late := patience.C
			if i == 0 {
				late = nil
			}
			select {
			case <-next.done:
			case <-late:
				return read, nil
			case <-ctx.Done():
				if i > 0 {
					return read, nil
				}
				return nil, fmt.Errorf("batch %s: texts not read in time: %w", id, ctx.Err())
			}
		}
		if next.err != nil && i > 0 {
			m.Logger.Info("results left out for now", "batch", id, "read", len(read), "of", len(results), "error", next.err)
			return read, nil
		}
		if next.err != nil {
			return nil, next.err
		}
		for j := range next.results {
			result := &next.results[j]
			read = append(read, gypsum.BatchResult{
				Item: result.Item, State: result.State, Text: next.texts[result.Text.Key], Versions: result.Versions,
			})
		}
	}
	return read, nil
}

// portions divides as many results as one answer holds by what has to be read for them.
func (m *Manager) portions(results []Result) []*portion {
	var portions []*portion
	current, size, answer := (*portion)(nil), 0, 0
	for i := range results {
		stored := results[i].Text
		if answer += stored.Size; i > 0 && answer > maxAnswer {
			break
		}
		text, kept := m.texts.get(stored.Key)
		missing := stored.Count > 0 && !kept
		if current == nil || (missing && size > 0 && size+stored.Size > portionSize) {
			current, size = &portion{texts: make(map[string]string), done: make(chan struct{})}, 0
			portions = append(portions, current)
		}
		current.results = append(current.results, results[i])
		if missing {
			current.missing = append(current.missing, stored)
			size += stored.Size
		} else {
			current.texts[stored.Key] = text
		}
	}
	return portions
}

// readPortions reads what portions lack, some at a time and the first ones first.
func (m *Manager) readPortions(ctx context.Context, id gypsum.BatchID, portions []*portion) {
	next := make(chan *portion, len(portions))
	for _, one := range portions {
		if len(one.missing) == 0 {
			close(one.done)
		} else {
			next <- one
		}
	}
	close(next)
	// The reader may leave: what is read is for the next one.
	ctx = context.WithoutCancel(ctx)
	for range min(portionsAtOnce, len(next)) {
		go func() {
			for one := range next {
				one.err = m.readPortion(ctx, id, one)
				close(one.done)
			}
		}()
	}
}

// readPortion reads what a portion lacks, and keeps it.
func (m *Manager) readPortion(ctx context.Context, id gypsum.BatchID, one *portion) error {
	ctx, cancel := context.WithTimeout(ctx, portionTime)
	defer cancel()
	values, err := m.fetch(ctx, m.Topics.Texts, id, one.missing...)
	if err != nil {
		return err
	}
	for key, value := range values {
		text := string(value)
		one.texts[key] = text
		m.texts.add(key, text)
	}
	return nil
}
