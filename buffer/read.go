package buffer

import (
	"io"
	"slices"
	"sync"

	"github.com/gypsumhook/gypsum"
)

// Sizes of the steps in which ReadAll reads.
const (
	minChunkBytes = 4 << 10
	maxChunkBytes = 256 << 10
	// growthDivisor is the part of what was read that the next step reads.
	growthDivisor = 4
)

// Reader reads bodies whose length is not known. The zero value is ready for use.
type Reader struct {
	// joining is held while the parts of a body are put together: the body is held twice meanwhile, so
	// one is joined at a time.
	joining sync.Mutex
}

// ReadAll reads until the end. The first firstChunk bytes are not counted; before it reads more, it calls
// reserve with the size up to which memory is needed in all, whose error ends it.
func (r *Reader) ReadAll(reader io.Reader, firstChunk gypsum.Bytes, reserve func(size gypsum.Bytes) error) ([]byte, error) {
	first := make([]byte, firstChunk)
	n, err := fill(reader, first)
	chunks, size := [][]byte{first[:n]}, n
	for err == nil {
		// Memory is reserved only if the body goes on.
		next := make([]byte, 1)
		if n, err = fill(reader, next); n == 0 {
			break
		}
		chunk := make([]byte, min(maxChunkBytes, max(size/growthDivisor, minChunkBytes)))
		if err := reserve(gypsum.Bytes(size + len(chunk))); err != nil {
			return nil, err
		}
		chunk[0], n = next[0], 0
		if err == nil {
			n, err = fill(reader, chunk[1:])
		}
		chunks, size = append(chunks, chunk[:n+1]), size+n+1
	}
	if err != io.EOF {
		return nil, err
	}
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	r.joining.Lock()
	defer r.joining.Unlock()
	return slices.Concat(chunks...), nil
}

// ReadFull reads a body of a known length and its end. The error is io.ErrUnexpectedEOF for one that is
// shorter.
func ReadFull(reader io.Reader, length int64) ([]byte, error) {
	content := make([]byte, length)
	n, err := fill(reader, content)
	if err == nil {
		_, err = fill(reader, make([]byte, 1))
	}
	switch {
	case err == io.EOF && int64(n) == length:
		return content, nil
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return content[:n], err
}

// fill reads until content is full. The error is that of the reader.
func fill(reader io.Reader, content []byte) (n int, err error) {
	for n < len(content) && err == nil {
		var read int
		read, err = reader.Read(content[n:])
		n += read
	}
	return n, err
}
