// Package stubs serves the stand-ins of package fake over HTTP, each with the published
// protocol of the system that it replaces.
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

func writeJSON(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content)
}

// decodeJSON decodes a JSON request body. If it is not valid, decodeJSON responds with
// status 400 and returns false.
func decodeJSON(w http.ResponseWriter, r *http.Request, content any) bool {
	if err := json.NewDecoder(r.Body).Decode(content); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// LogHandler returns an HTTP handler that serves the platform's log. PUT /fault/{fault}
// injects a fake.LogFault by its number, GET /appends returns the number of appends.
func LogHandler(log *fake.Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", func(w http.ResponseWriter, r *http.Request) {
		var req adapt.AppendRequest
		if !decodeJSON(w, r, &req) {
			return
		}
		offset, err := log.Append(r.Context(), gypsum.StreamName(r.PathValue("name")), req.Records)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, http.StatusOK, adapt.AppendResponse{Offset: offset})
	})
	mux.HandleFunc("GET /streams/{name}/records", func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
		limit, _ := strconv.Atoi(r.FormValue("max"))
		page, err := log.Read(r.Context(), gypsum.LogRead{
			Stream: gypsum.StreamName(r.PathValue("name")), From: gypsum.Offset(from), Max: limit,
		})
		switch {
		case errors.Is(err, gypsum.ErrTruncated):
			writeJSON(w, http.StatusGone, page)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			writeJSON(w, http.StatusOK, page)
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
		writeJSON(w, http.StatusOK, map[string]int64{"appends": log.AppendCount()})
	})
	return mux
}

// HostListHandler returns an HTTP handler that serves the platform's host list. PUT
// replaces the list.
func HostListHandler(list *fake.HostList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := list.Hosts(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, http.StatusOK, hosts)
	})
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []gypsum.Host
		if decodeJSON(w, r, &hosts) {
			list.SetHosts(hosts)
		}
	})
	return mux
}

// WeightStoreHandler returns an HTTP handler that serves the platform's weight store. PUT
// publishes a version.
func WeightStoreHandler(store *fake.WeightStore) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /models/{model}/latest", func(w http.ResponseWriter, r *http.Request) {
		version, err := store.LatestVersion(r.Context(), r.PathValue("model"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, http.StatusOK, adapt.LatestVersionResponse{Version: version})
	})
	mux.HandleFunc("PUT /models/{model}/latest", func(w http.ResponseWriter, r *http.Request) {
		var published adapt.LatestVersionResponse
		if decodeJSON(w, r, &published) {
			store.Publish(r.PathValue("model"), published.Version)
		}
	})
	return mux
}
