package runner

import (
	"sync/atomic"

	"github.com/gypsumhook/gypsum"
)

const (
	// defaultTextMemory is the memory for long texts of a Runner whose TextMemory is not set.
	defaultTextMemory gypsum.Bytes = 16 << 20
	// uncountedTextBytes is the size up to which a text does not count towards the memory for long texts, so that
	// ordinary ones are generated while long ones fill it.
	uncountedTextBytes gypsum.Bytes = 32 << 10
)

// textMemory limits the total size of the long texts that a Runner holds, of which each counts beyond
// uncountedTextBytes. It is safe for concurrent use.
type textMemory struct {
	limit gypsum.Bytes
	used  atomic.Int64
}

// textCopies is how many times the bytes of a long text count: its buffer grows to twice its size.
const textCopies = 2

// countedBytes returns how much a text counts.
func countedBytes(size gypsum.Bytes) gypsum.Bytes {
	return textCopies * max(0, size-uncountedTextBytes)
}

// grow counts the growth of a text from one size to another. It reports false if there is no memory left.
func (m *textMemory) grow(from, to gypsum.Bytes) bool {
	growth := int64(countedBytes(to) - countedBytes(from))
	if growth == 0 {
		return true
	}
	if m.used.Add(growth) > int64(m.limit) {
		m.used.Add(-growth)
		return false
	}
	return true
}

// updateTextMemory counts the texts that the Runner holds again, as those of items that have ended count no more. Growth
// meanwhile counts from the next update on.
func (r *Runner) updateTextMemory() {
	used := gypsum.Bytes(0)
	for _, held := range r.heldServices {
		for _, b := range held.batches {
			for _, a := range b.items {
				used += countedBytes(a.progress.textSize())
			}
		}
		for _, saved := range held.savedTexts {
			used += countedBytes(gypsum.Bytes(len(saved.text)))
		}
	}
	r.texts.used.Store(int64(used))
}
