package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/access"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/buffer"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/relay"
)

// Timeouts and delays of batch requests.
const (
	// storeWriteTimeout is how long the submission or the end of a batch may wait for a
	// store that does not respond. Another daemon may reach the store, and the client can
	// retry there.
	storeWriteTimeout = 1500 * time.Millisecond
	// storeReadTimeout is how long other requests may wait for the store.
	storeReadTimeout = 1200 * time.Millisecond
	// itemsRetryAfter is the retry delay of a batch that there is no memory for.
	itemsRetryAfter = time.Second
	// readsRetryAfter is the retry delay of a read that there is no memory for. Others end within fractions of a
	// second.
	readsRetryAfter = 500 * time.Millisecond
	// uncertainRetryAfter is the retry delay of requests that are refused because the
	// daemon cannot be sure whether a batch or a route exists.
	uncertainRetryAfter = 250 * time.Millisecond
)

func (s *Server) serveSubmitBatch(w http.ResponseWriter, r *http.Request, config *gypsum.RoutingConfig, route *gypsum.Route, grant *access.Grant, arrived time.Time) {
	id := r.Header.Get(platform.HeaderRequestID)
	content, held, ok := s.readBody(w, r, config.Limits.MaxBody, bodyWork(r, route, grant, arrived))
	if !ok {
		return
	}
	defer held.release()
	if s.refuseForStop(w, r, route, arrived) {
		return
	}
	if err := held.add(platform.DecodedBatchMemory(content)); err != nil {
		s.refuseBody(w, r, s.bodies())
		return
	}
	submitted, err := platform.DecodeBatch(id, content)
	if err != nil {
		s.Stats.BadInput.Add(1)
		s.Logger.Info("failed to decode submitted batch", "batch", id, "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The body may have taken long to arrive.
	refusal := s.Access.Recheck(grant)
	switch {
	case refusal != nil:
	case grant.AccountsInForce:
		platform.TakeItemKeys(submitted.Items)
	case platform.ItemsStateAccount(submitted.Items):
		refusal = s.Access.ConfirmNoAccounts(r.Context())
	}
	if refusal != nil {
		s.logAndRefuse(w, r, refusal)
		return
	}
	submitted.Account, submitted.AccountsInForce = grant.AccountName(), grant.AccountsInForce
	submitted.Route, submitted.HostName, submitted.Service = route.Name, r.Host, route.PickService()
	submitted.SingleVersion, submitted.MaxAttempts = route.SingleVersion, route.MaxAttempts
	submitted.SubmittedAt = time.Now()
	submitted.DueAt, submitted.ExpiresAt = submitted.SubmittedAt.Add(route.ResultDue), submitted.SubmittedAt.Add(route.Retention)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), min(storeWriteTimeout, requestTimeout(r, route)))
	defer cancel()
	err = s.Batches.AcceptBatch(ctx, submitted)
	s.Logger.Info("batch submitted", "batch", id, "account", submitted.Account, "route", route.Name, "items", len(submitted.Items), "step", submitted.Step,
		"store_away_ms", s.StoreDowntime().Milliseconds(), "took_ms", time.Since(arrived).Milliseconds(), "error", err)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, batch.ErrBatchTaken):
		writeRefusal(w, gypsum.NotRunRefusal(gypsum.ReasonBadRequest, http.StatusConflict, 0, "another batch has the id"))
	case errors.Is(err, batch.ErrTooManyItems):
		writeRefusal(w, gypsum.NotRunRefusal(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, itemsRetryAfter, "too many items wait for engines"))
	case errors.Is(err, gypsum.ErrStoreRefused):
		writeRefusal(w, gypsum.NotRunRefusal(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable,
			relay.RetryAfter(s.StoreDowntime()), "the batch cannot be stored now"))
	default:
		writeRefusal(w, gypsum.UnknownRefusal(gypsum.ReasonLogUnavailable, http.StatusGatewayTimeout, 0, "it is not known whether the batch was stored"))
	}
}

// checkBatchAccess checks that the caller may access a batch.
func (s *Server) checkBatchAccess(r *http.Request, id gypsum.BatchID, caller gypsum.AccountName) error {
	ctx, cancel := context.WithTimeout(r.Context(), storeReadTimeout)
	defer cancel()
	if err := s.Batches.CheckAccess(ctx, id, caller); err != nil {
		// Nothing of the request has been done.
		return fmt.Errorf("check access: %w: %w", gypsum.ErrStoreRefused, err)
	}
	return nil
}

// serveAnonymousBatchRequest serves a request without a key about a batch. Only batches of routes
// that need no key can be accessed so. unauthenticated is the refusal in all other cases, whether
// or not there is a batch.
func (s *Server) serveAnonymousBatchRequest(w http.ResponseWriter, r *http.Request, batchRequest *platform.BatchRequest, unauthenticated *gypsum.Refusal) {
	switch err := s.checkBatchAccess(r, batchRequest.ID, ""); {
	case err == nil:
		s.serveBatchRequest(w, r, batchRequest, &access.Grant{AccountsInForce: true})
	case errors.Is(err, batch.ErrNoBatch):
		s.refuseAccess(w, r, access.Credential{Missing: true}, unauthenticated)
	default:
		s.logAndRefuse(w, r, gypsum.NotRunRefusal(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable, uncertainRetryAfter, "the batch cannot be read now"))
	}
}

// serveBatchRequest serves a request about a submitted batch.
func (s *Server) serveBatchRequest(w http.ResponseWriter, r *http.Request, batchRequest *platform.BatchRequest, grant *access.Grant) {
	startedAt := time.Now()
	err := s.checkBatchAccess(r, batchRequest.ID, grant.AccountName())
	if !grant.AccountsInForce && s.Batches.IsOfAccount(batchRequest.ID) {
		// There were accounts when the batch was accepted. Only a configuration that dropped them since makes it
		// accessible without a key.
		if refusal := s.Access.ConfirmNoAccounts(r.Context()); refusal != nil {
			s.logAndRefuse(w, r, refusal)
			return
		}
		err = nil
	}
	if err == nil {
		err = s.runBatchRequest(w, r, batchRequest, grant.AccountName(), startedAt)
	}
	if err == nil {
		return
	}
	s.Logger.Info("failed to serve request about batch", "batch", batchRequest.ID, "method", r.Method, "after", batchRequest.After, "item", batchRequest.Item,
		"took_ms", time.Since(startedAt).Milliseconds(), "error", err)
	// The status is 404 only if the batch or item is certain not to exist.
	if errors.Is(err, batch.ErrNoBatch) || errors.Is(err, batch.ErrNoItem) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if errors.Is(err, batch.ErrReadsFull) {
		writeRefusal(w, gypsum.NotRunRefusal(gypsum.ReasonOverloaded, http.StatusServiceUnavailable, readsRetryAfter, "too much of batches is being read"))
		return
	}
	if batchRequest.Kind == platform.BatchRequestEndBatch && !errors.Is(err, gypsum.ErrStoreRefused) {
		writeRefusal(w, gypsum.UnknownRefusal(gypsum.ReasonLogUnavailable, http.StatusGatewayTimeout, 0, "it is not known whether the end was stored"))
		return
	}
	writeRefusal(w, gypsum.NotRunRefusal(gypsum.ReasonLogUnavailable, http.StatusServiceUnavailable, uncertainRetryAfter, "the batch cannot be read now"))
}

// runBatchRequest runs a request about a batch that the caller may access.
func (s *Server) runBatchRequest(w http.ResponseWriter, r *http.Request, batchRequest *platform.BatchRequest, account gypsum.AccountName, startedAt time.Time) (err error) {
	switch batchRequest.Kind {
	case platform.BatchRequestReadResults:
		err = s.serveResults(w, r, batchRequest, account)
		s.Stats.ResultReads.RecordDuration(time.Since(startedAt))
	case platform.BatchRequestReadItem:
		err = s.serveItemBody(w, r, batchRequest, account)
	case platform.BatchRequestEndBatch:
		err = s.serveEndBatch(w, r, batchRequest.ID)
	}
	return err
}

// serveResults serves a request for the results of a batch.
func (s *Server) serveResults(w http.ResponseWriter, r *http.Request, batchRequest *platform.BatchRequest, account gypsum.AccountName) error {
	wait := batchRequest.Wait
	if s.Stopping.Load() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait+storeReadTimeout)
	defer cancel()
	// What is read for the response counts until the client has taken it.
	holder := s.Buffers.Open(account, s.Buffers.Usage().Limit, nil, time.Now())
	defer holder.Close()
	ctx = buffer.NewContext(ctx, holder)
	total, results, err := s.Batches.ReadResults(ctx, batchRequest.ID, batchRequest.After, wait)
	if err != nil {
		return err
	}
	content, err := platform.EncodeResults(total, batchRequest.After, results)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	s.writeCounted(w, http.StatusOK, content, gypsum.RequestID(batchRequest.ID), account, holder, stallTimeout)
	if len(results) > 0 {
		s.Logger.Info("batch results read", "batch", batchRequest.ID, "after", batchRequest.After, "results", len(results), "total", total)
	}
	return nil
}

func (s *Server) serveItemBody(w http.ResponseWriter, r *http.Request, batchRequest *platform.BatchRequest, account gypsum.AccountName) error {
	ctx, cancel := context.WithTimeout(r.Context(), storeReadTimeout)
	defer cancel()
	body, err := s.Batches.ItemBody(ctx, batchRequest.ID, batchRequest.Item)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	s.writeBody(w, http.StatusOK, body, gypsum.RequestID(batchRequest.ID), account)
	return nil
}

// serveEndBatch ends a batch, even if the client disconnects meanwhile.
func (s *Server) serveEndBatch(w http.ResponseWriter, r *http.Request, id gypsum.BatchID) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), storeWriteTimeout)
	defer cancel()
	if err := s.Batches.EndBatch(ctx, id); err != nil {
		return err
	}
	writeJSON(w, []byte("{}"))
	return nil
}

func writeJSON(w http.ResponseWriter, content []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}
