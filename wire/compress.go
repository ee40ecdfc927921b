package wire

import "net/http"

// compressionHeaders are the headers that name the compression of a request in the protocols that
// connect-go serves.
var compressionHeaders = []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"}

// WithoutCompression returns a handler that refuses compressed requests, which may be far larger once
// they are read than what is counted of them. Clients of this project send none. Responses may be
// compressed.
func WithoutCompression(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range compressionHeaders {
			if encoding := r.Header.Get(name); encoding != "" && encoding != "identity" {
				http.Error(w, "compressed requests are not accepted", http.StatusUnsupportedMediaType)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}
