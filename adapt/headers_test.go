package adapt_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/adapt"
)

// Headers that apply to a single connection are dropped, also those that the Connection
// header names. Otherwise a caller could pass headers on as if they were the daemon's.
func TestHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		"Connection": {"close, X-Internal", "keep-alive"}, "X-Internal": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "X-Own": {"2"},
	}
	is.Equal(adapt.WithoutHopByHopHeaders(header), http.Header{"X-Own": {"2"}})
	is.Equal(len(header), 5) // the argument is unchanged
	is.Equal(adapt.WithoutHopByHopHeaders(nil), http.Header{})
}
