package wire

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// MaxResponseHeaderBytes limits the head of a response. A server in trouble may send one
// without an end.
const MaxResponseHeaderBytes = 64 << 10

// ErrBodyTooLarge is returned for a body above its limit.
var ErrBodyTooLarge = errors.New("body is too large")

// ReadBody reads a body of at most limit bytes. The error of a larger one is ErrBodyTooLarge.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, fmt.Errorf("more than %d bytes: %w", limit, ErrBodyTooLarge)
	}
	return content, nil
}
