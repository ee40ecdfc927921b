package buffer

import (
	"context"
	"time"

	"github.com/gypsumhook/gypsum"
)

// holderKey is the context key of the share of a request.
type holderKey struct{}

// NewContext returns a context of a request whose share is holder.
func NewContext(ctx context.Context, holder *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, holder)
}

// Reserve counts bytes that are held for the request of a context, until its holder is closed. Memory that is
// short is taken from connections as AddEvicting does. Without a share in ctx, the bytes do not count.
func Reserve(ctx context.Context, size gypsum.Bytes, grace time.Duration) error {
	holder, ok := ctx.Value(holderKey{}).(*Holder)
	if !ok {
		return nil
	}
	return holder.AddEvicting(size, grace, time.Now())
}
