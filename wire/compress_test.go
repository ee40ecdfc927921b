package wire_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/wire"
)

// TestCompressedRequestsAreRefused checks that requests that name a compression do not reach a handler, in
// any of the protocols.
func TestCompressedRequestsAreRefused(t *testing.T) {
	handler := wire.WithoutCompression(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }))
	for _, tc := range []struct {
		name, value string
		want        int
	}{
		{"Content-Encoding", "gzip", http.StatusUnsupportedMediaType},
		{"Connect-Content-Encoding", "gzip", http.StatusUnsupportedMediaType},
		{"Grpc-Encoding", "zstd", http.StatusUnsupportedMediaType},
		{"Content-Encoding", "identity", http.StatusAccepted},
		{"Accept-Encoding", "gzip", http.StatusAccepted},
	} {
		t.Run(tc.name+" "+tc.value, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "/x", nil)
			request.Header.Set(tc.name, tc.value)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			is.New(t).Equal(recorder.Code, tc.want)
		})
	}
}
