package front

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
	// submitPatience is how long a submission may wait for a store that does not
	// answer: another host may reach it, and the client can ask there.
	submitPatience = 1500 * time.Millisecond
	// callPatience is how long other calls may wait for the store.
	callPatience = 1200 * time.Millisecond
	// goneReturn is when to ask again after an answer that nobody can be sure of.
	goneReturn = 250 * time.Millisecond
)

// submit accepts a batch.
func (f *Front) submit(w http.ResponseWriter, r *http.Request, config *gypsum.RoutingConfig, route *gypsum.Route, arrived time.Time) {
	id := r.Header.Get(platform.HeaderRequestID)
	content, release, ok := f.readBody(w, r, config.Limits.MaxBody)
	if !ok {
		return
	}
	defer release()
	made, err := platform.DecodeBatch(id, content)
	if err != nil {
		f.Stats.Bad.Add(1)
		f.Logger.Info("batch not understood", "batch", id, "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	made.Route, made.HostName, made.Service = route.Name, r.Host, pickService(route)
	made.SingleVersion, made.MaxAttempts = route.SingleVersion, route.MaxAttempts
	made.SubmittedAt = time.Now()
	made.DueAt, made.ExpiresAt = made.SubmittedAt.Add(route.ResultDue), made.SubmittedAt.Add(route.Retention)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), min(submitPatience, timeLeft(r, route)))
	defer cancel()
	err = f.Batches.Accept(ctx, made)
	f.Logger.Info("batch submitted", "batch", id, "route", route.Name, "items", len(made.Items), "step", made.Step,
		"store_away_ms", f.StoreAway().Milliseconds(), "took_ms", time.Since(arrived).Milliseconds(), "error", err)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, gypsum.ErrStoreRefused):
		refuse(w, gypsum.NotRun(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable,
			relay.RetryAfter(f.StoreAway()), "the batch cannot be stored now"))
	default:
		refuse(w, gypsum.Unknown(gypsum.ReasonLogUnavailable, http.StatusGatewayTimeout, 0, "it is not known whether the batch was stored"))
	}
}

// serveBatchCall serves a call about a batch.
func (f *Front) serveBatchCall(w http.ResponseWriter, r *http.Request, call *platform.BatchRequest) {
	begun := time.Now()
	var err error
	switch call.Kind {
	case platform.BatchReadResults:
		err = f.readResults(w, r, call)
		f.Stats.Read.Observe(time.Since(begun))
	case platform.BatchReadItem:
		err = f.readBodyOf(w, r, call)
	case platform.BatchEnd:
		err = f.endBatch(w, r, call.ID)
	}
	if err == nil {
		return
	}
	f.Logger.Info("batch call failed", "batch", call.ID, "method", r.Method, "after", call.After, "item", call.Item,
		"took_ms", time.Since(begun).Milliseconds(), "error", err)
	// Only what is certain is answered with 404.
	if errors.Is(err, batch.ErrNoBatch) || errors.Is(err, batch.ErrNoItem) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	refuse(w, gypsum.NotRun(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable, goneReturn, "the batch cannot be read now"))
}

// readResults answers a read of results.
func (f *Front) readResults(w http.ResponseWriter, r *http.Request, call *platform.BatchRequest) error {
	wait := call.Wait
	if f.Stopping.Load() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait+callPatience)
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

// readBodyOf answers a request for an item's body.
func (f *Front) readBodyOf(w http.ResponseWriter, r *http.Request, call *platform.BatchRequest) error {
	ctx, cancel := context.WithTimeout(r.Context(), callPatience)
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
func (f *Front) endBatch(w http.ResponseWriter, r *http.Request, id gypsum.BatchID) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitPatience)
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
