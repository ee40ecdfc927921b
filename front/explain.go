package front

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/platform"
	"github.com/gypsumhook/gypsum/relay"
	"github.com/gypsumhook/gypsum/wire"
)

// ExplainPath is the path of the internal port at which a daemon explains where a request would
// go.
const ExplainPath = "/explain"

// maxExplainBytes limits a request for an explanation.
const maxExplainBytes = 64 << 10

// Explain returns where a request would go if it arrived now, and why.
func (s *Server) Explain(request *gypsum.ExplainRequest) (*gypsum.Explanation, error) {
	arrived, view := time.Now(), s.Access.View()
	config := view.Config
	explanation := &gypsum.Explanation{StoreAwayMS: s.StoreDowntime().Milliseconds(), Account: request.Account}
	if config == nil {
		explanation.Verdict = "refused with status 503: no configuration was learned yet"
		return explanation, nil
	}
	explanation.Revision = config.Revision
	if view.Confirmed && config.Accounts != nil {
		explanation.ConfigAgeMS = (view.Now - view.ConfirmedAt).Milliseconds()
	}
	r, err := http.NewRequest(request.Method, request.Target, nil)
	if err != nil {
		return nil, err
	}
	r.Host = request.HostName
	if request.Header != nil {
		r.Header = request.Header
	}
	route := config.MatchRoute(gypsum.HostNameOf(r.Host), r.URL.EscapedPath())
	batchRequest, batchErr := platform.DecodeBatchRequest(r)
	if s.isBatchCall(r.Header, batchRequest, batchErr) {
		explanation.Verdict = "a request about a batch, which no route takes"
		return explanation, nil
	}
	switch {
	case route == nil && s.ConfigAge() > maxConfigAge:
		explanation.Verdict = "refused with status 503: no route is known, and the configuration may have changed"
	case route == nil:
		explanation.Verdict = "no route matches; only requests about batches are served"
	}
	if route == nil {
		return explanation, nil
	}
	timeout := requestTimeout(r, route)
	explanation.Route, explanation.Kind, explanation.Priority = route.Name, route.Kind, route.Priority
	grant, refusal := s.Access.Policy.AdmitAccount(view, route.NoAuth, request.Account)
	if refusal != nil {
		explanation.Verdict = fmt.Sprintf("refused with status %d: %s", refusal.Status, refusal.Detail)
		return explanation, nil
	}
	explanation.Priority = grant.Priority(route)
	explanation.TargetMS, explanation.TimeoutMS = route.LatencyTarget.Milliseconds(), timeout.Milliseconds()
	if route.Kind == gypsum.RouteRollout && r.Method == http.MethodPost {
		explanation.Verdict = "a batch: stored, and run by the holder of the service"
		return explanation, nil
	}
	total := 0.0
	for _, service := range route.Services {
		total += max(0, service.Weight)
	}
	for _, service := range route.Services {
		explained := s.Relay.Explain(&relay.Request{
			LiveRequest: gypsum.LiveRequest{Method: r.Method, Target: request.Target, HostName: r.Host, Header: r.Header, Account: request.Account, AccountsInForce: grant.AccountsInForce},
			Priority:    grant.Priority(route), Route: route, Service: service.Service, Arrived: arrived, Deadline: arrived.Add(timeout),
		})
		if total > 0 {
			explained.Share = max(0, service.Weight) / total
		}
		explanation.Services = append(explanation.Services, explained)
	}
	return explanation, nil
}

// ExplainHandler returns the handler that explains where requests would go. Its requests and
// responses are gypsum.ExplainRequest and gypsum.Explanation as JSON.
func (s *Server) ExplainHandler(host gypsum.HostID) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := wire.ReadBody(io.LimitReader(r.Body, maxExplainBytes+1), maxExplainBytes)
		request := &gypsum.ExplainRequest{}
		if err == nil {
			err = json.Unmarshal(content, request)
		}
		var explanation *gypsum.Explanation
		if err == nil {
			explanation, err = s.Explain(request)
		}
		if err != nil {
			http.Error(w, "invalid request: "+err.Error(), http.StatusBadRequest)
			return
		}
		explanation.Host = host
		encoded, err := json.Marshal(explanation)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		writeJSON(w, encoded)
	})
}
