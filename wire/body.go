package wire

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/intake"
)

// ErrBodyTooLarge is returned for a body above its limit.
var ErrBodyTooLarge = errors.New("body is too large")

// ReadCounted is ReadBody for a body that counts toward what the request of ctx holds. The error is one of
// package buffer if there is no memory for it.
func ReadCounted(ctx context.Context, reader *buffer.Reader, body io.Reader, limit int64) ([]byte, error) {
	reserved := gypsum.Bytes(0)
	content, err := reader.ReadAll(io.LimitReader(body, limit+1), intake.SmallBody, func(size gypsum.Bytes) error {
		err := buffer.Reserve(ctx, size-reserved, intake.StallGrace)
		reserved = size
		return err
	})
	if err == nil && int64(len(content)) > limit {
		err = fmt.Errorf("more than %d bytes: %w", limit, ErrBodyTooLarge)
	}
	return content, err
}

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
