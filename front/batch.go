package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/relay"
)

// Limits of calls about batches.
const (
	maxIDSize = 64
	// submitPatience is how long a submission may wait for a store that does not
	// answer: another host may reach it, and the client can ask there.
	submitPatience = 1500 * time.Millisecond
	// callPatience is how long other calls may wait for the store.
	callPatience = 1200 * time.Millisecond
	// readWait is how long a read without a stated wait is kept.
	readWait = time.Second
	// goneReturn is when to ask again after an answer that nobody can be sure of.
	goneReturn = 250 * time.Millisecond
)

// submit accepts a batch.
func (f *Front) submit(w http.ResponseWriter, r *http.Request, manifest *gypsum.Manifest, route *gypsum.Route, arrived time.Time) {
	id := r.Header.Get(platform.HeaderRequestID)
	content, release, ok := f.readBody(w, r, manifest.Limits.MaxBody)
	if !ok {
		return
	}
	defer release()
	made, err := platform.DecodeBatch(content)
	if err == nil && (id == "" || len(id) > maxIDSize) {
		err = errors.Errorf("id of %d bytes", len(id))
	}
	if err != nil {
		f.Stats.Bad.Add(1)
		f.Logger.Info("batch not understood", "batch", id, "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	made.ID, made.Route, made.HostName, made.Service = gypsum.BatchID(id), route.Name, r.Host, pickService(route)
	made.Single, made.MaxAttempts = route.SingleVersion, route.MaxAttempts
	made.Submitted = time.Now()
	made.Due, made.GiveUp = made.Submitted.Add(route.ResultDue), made.Submitted.Add(route.Retention)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), min(submitPatience, timeLeft(r, route)))
	defer cancel()
	err = f.Desk.Accept(ctx, made)
	f.Logger.Info("batch submitted", "batch", id, "route", route.Name, "items", len(made.Items), "step", made.Step,
		"store_away_ms", f.StoreAway().Milliseconds(), "took_ms", time.Since(arrived).Milliseconds(), "error", err)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, gypsum.ErrStoreRefused):
		refuse(w, gypsum.NotRun(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable,
			relay.ReturnAfter(f.StoreAway()), "the batch cannot be stored now"))
	default:
		refuse(w, gypsum.Unknown(gypsum.ReasonLogUnavailable, http.StatusGatewayTimeout, 0, "it is not known whether the batch was stored"))
	}
}

// isBatchCall tells whether a request is a call about a batch, by its path.
func isBatchCall(r *http.Request) bool {
	path := r.URL.Path
	return (strings.HasPrefix(path, "/lots/") && (r.Method == http.MethodGet || r.Method == http.MethodDelete)) ||
		(strings.HasPrefix(path, "/items/") && r.Method == http.MethodGet)
}

// serveBatchCall serves a call about a batch.
func (f *Front) serveBatchCall(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	kind, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if id == "" || len(id) > maxIDSize {
		http.Error(w, "no such batch", http.StatusNotFound)
		return
	}
	switch {
	case kind == "items":
		f.readItem(w, r, gypsum.BatchID(id))
	case r.Method == http.MethodDelete:
		f.endBatch(w, r, gypsum.BatchID(id))
	default:
		f.readResults(w, r, gypsum.BatchID(id))
		f.Stats.Read.Observe(time.Since(begun))
	}
}

// readResults answers a read of results.
func (f *Front) readResults(w http.ResponseWriter, r *http.Request, id gypsum.BatchID) {
	from, err := strconv.Atoi(r.URL.Query().Get("after"))
	if r.URL.Query().Get("after") == "" {
		from, err = 0, nil
	}
	if err != nil || from < 0 {
		http.Error(w, "after is no position", http.StatusBadRequest)
		return
	}
	wait := readWait
	if millis, err := strconv.Atoi(r.Header.Get(platform.HeaderWait)); err == nil && millis >= 0 {
		wait = time.Duration(millis) * time.Millisecond
	}
	if f.Stopping.Load() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait+callPatience)
	defer cancel()
	total, results, err := f.Desk.Read(ctx, id, from, wait)
	if err != nil {
		f.batchError(w, r, id, err)
		return
	}
	content, err := platform.EncodeResults(total, from, results)
	if err != nil {
		f.batchError(w, r, id, err)
		return
	}
	writeJSON(w, content)
	if len(results) > 0 {
		f.Logger.Info("results read", "batch", id, "after", from, "results", len(results), "total", total)
	}
}

// readItem answers a request for an item's body.
func (f *Front) readItem(w http.ResponseWriter, r *http.Request, id gypsum.BatchID) {
	ctx, cancel := context.WithTimeout(r.Context(), callPatience)
	defer cancel()
	body, err := f.Desk.Body(ctx, id, gypsum.ItemID(r.URL.Query().Get("id")))
	if err != nil {
		f.batchError(w, r, id, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// endBatch ends a batch.
func (f *Front) endBatch(w http.ResponseWriter, r *http.Request, id gypsum.BatchID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitPatience)
	defer cancel()
	if err := f.Desk.End(ctx, id); err != nil {
		f.batchError(w, r, id, err)
		return
	}
	writeJSON(w, []byte("{}"))
}

// writeJSON writes a JSON answer.
func writeJSON(w http.ResponseWriter, content []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}

// batchError answers a call about a batch that cannot be served. Only what is
// certain is answered with 404.
func (f *Front) batchError(w http.ResponseWriter, r *http.Request, id gypsum.BatchID, err error) {
	f.Logger.Info("batch call failed", "batch", id, "method", r.Method, "path", r.URL.Path, "after", r.URL.Query().Get("after"), "error", err)
	if errors.Is(err, batch.ErrNoBatch) || errors.Is(err, batch.ErrNoItem) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	refuse(w, gypsum.NotRun(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable, goneReturn, "the batch cannot be read now"))
}
