package intake

import (
	"bytes"
	"net/http"

	"github.com/gypsumhook/gypsum"
)

// Memory of heads and of requests. The memory of a head depends on its lines more than on its bytes.
const (
	// arrivingLineBytes is the memory of a line of a head that was parsed.
	arrivingLineBytes = 256
	// requestLineBytes is the memory of a line of a request at work, with the copies of its header that
	// are made to forward it.
	requestLineBytes = 640
	// requestHeadCopies is the number of copies of the bytes of a head.
	requestHeadCopies = 3
	// requestBytes is the memory of a request at work with a small head: stacks, buffers and a body of
	// up to SmallBody.
	requestBytes = 16 << 10
	// SmallBody is the size up to which a body counts as part of its request.
	SmallBody gypsum.Bytes = 8 << 10
)

// http2Preface is the beginning of an HTTP/2 connection (RFC 9113, 3.4).
const http2Preface = "PRI * HTTP/2"

// headScanner follows the bytes of a head as they arrive. It finds the end of the head, so that the
// bytes of a body do not count.
type headScanner struct {
	size  gypsum.Bytes
	lines int
	// lineLength is the length of the line that arrives, without a carriage return at its end.
	lineLength int
	// hasLine means that a line with content has ended.
	hasLine bool
	// isWhole means that the empty line after the head has arrived, isHTTP2 that there is no head.
	isWhole bool
	isHTTP2 bool
}

// add follows further bytes.
func (s *headScanner) add(content []byte) {
	if s.size == 0 && bytes.HasPrefix(content, []byte(http2Preface)) {
		s.isHTTP2 = true
	}
	if s.isHTTP2 {
		return
	}
	for len(content) > 0 && !s.isWhole {
		end := bytes.IndexByte(content, '\n')
		line := content
		if end >= 0 {
			line = content[:end]
		}
		s.lineLength += len(bytes.TrimSuffix(line, []byte("\r")))
		if end < 0 {
			s.size += gypsum.Bytes(len(content))
			return
		}
		s.size += gypsum.Bytes(end + 1)
		s.lines++
		s.isWhole = s.hasLine && s.lineLength == 0
		s.hasLine = s.hasLine || s.lineLength > 0
		s.lineLength = 0
		content = content[end+1:]
	}
}

// memory returns the memory of the head.
func (s *headScanner) memory() gypsum.Bytes { return s.size + gypsum.Bytes(s.lines)*arrivingLineBytes }

// requestMemory returns the memory of a request at work, apart from a large body.
func requestMemory(r *http.Request) gypsum.Bytes {
	size, lines := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return requestBytes + gypsum.Bytes(requestHeadCopies*size+requestLineBytes*lines)
}
