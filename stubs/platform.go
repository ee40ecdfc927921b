// Package stubs serves the stand-ins of package fake over HTTP, each in the
// published protocol of the system whose place it takes.
package stubs

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/adapt"
	"github.com/gypsumhook/gypsum/fake"
)

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content)
}

// decode reads a JSON request; it answers 400 and returns false if it is none.
func decode(w http.ResponseWriter, r *http.Request, content any) bool {
	if err := json.NewDecoder(r.Body).Decode(content); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Log returns the handler of the platform's log service.
func Log(log *fake.Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", func(w http.ResponseWriter, r *http.Request) {
		var request adapt.AppendRequest
		if !decode(w, r, &request) {
			return
		}
		offset, err := log.Append(r.Context(), gypsum.StreamName(r.PathValue("name")), request.Records)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		answer(w, http.StatusOK, adapt.AppendResponse{Offset: offset})
	})
	mux.HandleFunc("GET /streams/{name}/records", func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
		limit, _ := strconv.Atoi(r.FormValue("max"))
		page, err := log.Read(r.Context(), gypsum.LogRead{
			Stream: gypsum.StreamName(r.PathValue("name")), From: gypsum.Offset(from), Max: limit,
		})
		switch {
		case errors.Is(err, gypsum.ErrTruncated):
			answer(w, http.StatusGone, page)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			answer(w, http.StatusOK, page)
		}
	})
	mux.HandleFunc("PUT /fault/{fault}", func(w http.ResponseWriter, r *http.Request) {
		fault, err := strconv.Atoi(r.PathValue("fault"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		log.SetFault(fake.LogFault(fault))
	})
	mux.HandleFunc("GET /appends", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, map[string]int64{"appends": log.Appends()})
	})
	return mux
}

// Hosts returns the handler of the platform's host list. PUT replaces it.
func Hosts(list *fake.Hosts) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := list.Hosts(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		answer(w, http.StatusOK, hosts)
	})
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []gypsum.Host
		if decode(w, r, &hosts) {
			list.Set(hosts)
		}
	})
	return mux
}

// Store returns the handler of the platform's weight store. PUT publishes a version.
func Store(store *fake.Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /models/{model}/latest", func(w http.ResponseWriter, r *http.Request) {
		version, err := store.Latest(r.Context(), r.PathValue("model"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		answer(w, http.StatusOK, adapt.LatestVersionResponse{Version: version})
	})
	mux.HandleFunc("PUT /models/{model}/latest", func(w http.ResponseWriter, r *http.Request) {
		var published adapt.LatestVersionResponse
		if decode(w, r, &published) {
			store.Publish(r.PathValue("model"), published.Version)
		}
	})
	return mux
}
