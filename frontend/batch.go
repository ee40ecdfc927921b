package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/relay"
)

// Limits of calls about batches.
const (
	// storeWriteTimeout is how long a submission may wait for a store that does not
	// answer: another host may reach it, and the client can ask there.
	storeWriteTimeout = 1500 * time.Millisecond
	// storeReadTimeout is how long other calls may wait for the store.
	storeReadTimeout = 1200 * time.Millisecond
	// uncertainRetryAfter is when to ask again after an answer that nobody can be sure of.
	uncertainRetryAfter = 250 * time.Millisecond
)

// submitBatch accepts a batch.
func (f *Server) submitBatch(w http.ResponseWriter, r *http.Request, config *gypsum.RoutingConfig, route *gypsum.Route, arrived time.Time) {
	id := r.Header.Get(platform.HeaderRequestID)
	content, release, ok := f.readBody(w, r, config.Limits.MaxBody)
	if !ok {
		return
	}
	defer release()
	submitted, err := platform.DecodeBatch(id, content)
	if err != nil {
		f.Stats.BadInput.Add(1)
		f.Logger.Info("batch not understood", "batch", id, "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	submitted.Route, submitted.HostName, submitted.Service = route.Name, r.Host, pickService(route)
	submitted.SingleVersion, submitted.MaxAttempts = route.SingleVersion, route.MaxAttempts
	submitted.SubmittedAt = time.Now()
	submitted.DueAt, submitted.ExpiresAt = submitted.SubmittedAt.Add(route.ResultDue), submitted.SubmittedAt.Add(route.Retention)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), min(storeWriteTimeout, requestTimeout(r, route)))
	defer cancel()
	err = f.Batches.Accept(ctx, submitted)
	f.Logger.Info("batch submitted", "batch", id, "route", route.Name, "items", len(submitted.Items), "step", submitted.Step,
		"store_away_ms", f.StoreDowntime().Milliseconds(), "took_ms", time.Since(arrived).Milliseconds(), "error", err)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, gypsum.ErrStoreRefused):
		writeRefusal(w, gypsum.NotRun(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable,
			relay.RetryAfter(f.StoreDowntime()), "the batch cannot be stored now"))
	default:
		writeRefusal(w, gypsum.Unknown(gypsum.ReasonLogUnavailable, http.StatusGatewayTimeout, 0, "it is not known whether the batch was stored"))
	}
}

// serveBatchCall serves a call about a batch.
func (f *Server) serveBatchCall(w http.ResponseWriter, r *http.Request, call *platform.BatchRequest) {
	startedAt := time.Now()
	var err error
	switch call.Kind {
	case platform.BatchReadResults:
		err = f.readResults(w, r, call)
		f.Stats.ResultReads.Observe(time.Since(startedAt))
	case platform.BatchReadItem:
		err = f.readItemBody(w, r, call)
	case platform.BatchEnd:
		err = f.endBatch(w, r, call.ID)
	}
	if err == nil {
		return
	}
	f.Logger.Info("batch call failed", "batch", call.ID, "method", r.Method, "after", call.After, "item", call.Item,
		"took_ms", time.Since(startedAt).Milliseconds(), "error", err)
	// Only what is certain is answered with 404.
	if errors.Is(err, batch.ErrNoBatch) || errors.Is(err, batch.ErrNoItem) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeRefusal(w, gypsum.NotRun(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable, uncertainRetryAfter, "the batch cannot be read now"))
}

// readResults answers a read of results.
func (f *Server) readResults(w http.ResponseWriter, r *http.Request, call *platform.BatchRequest) error {
	wait := call.Wait
	if f.Stopping.Load() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait+storeReadTimeout)
	defer cancel()
	total, results, err := f.Batches.ReadResults(ctx, call.ID, call.After, wait)
	if err != nil {
		return err
	}
	content, err := platform.EncodeResults(total, call.After, results)
	if err != nil {
		return err
	}
	writeJSON(w, content)
	if len(results) > 0 {
		f.Logger.Info("results read", "batch", call.ID, "after", call.After, "results", len(results), "total", total)
	}
	return nil
}

// readItemBody answers a request for an item's body.
func (f *Server) readItemBody(w http.ResponseWriter, r *http.Request, call *platform.BatchRequest) error {
	ctx, cancel := context.WithTimeout(r.Context(), storeReadTimeout)
	defer cancel()
	body, err := f.Batches.ItemBody(ctx, call.ID, call.Item)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	return nil
}

// endBatch ends a batch, also if the client has left meanwhile.
func (f *Server) endBatch(w http.ResponseWriter, r *http.Request, id gypsum.BatchID) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), storeWriteTimeout)
	defer cancel()
	if err := f.Batches.End(ctx, id); err != nil {
		return err
	}
	writeJSON(w, []byte("{}"))
	return nil
}

// writeJSON writes a JSON answer.
func writeJSON(w http.ResponseWriter, content []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}
