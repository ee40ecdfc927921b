package gypsum

import "net/http"

// ExplainRequest is a request of which an operator asks where it would go.
type ExplainRequest struct {
	Method   string      `json:"method"`
	HostName string      `json:"host"`
	Target   string      `json:"path"`
	Header   http.Header `json:"headers,omitempty"`
	Account  AccountName `json:"account,omitempty"`
}

// Explanation says where a request would go now, and why. Nothing is sent, counted or changed for
// it. Times are in milliseconds.
type Explanation struct {
	Host HostID `json:"daemon"`
	// Revision is that of the configuration, StoreAwayMS how long the store has not responded:
	// so old may the configuration and the registrations be.
	Revision    Revision `json:"revision"`
	StoreAwayMS int64    `json:"store_away_ms"`
	// ConfigAgeMS is how long ago the configuration was known to be current, if it has accounts.
	ConfigAgeMS int64       `json:"config_age_ms,omitempty"`
	Route       string      `json:"route,omitempty"`
	Kind        RouteKind   `json:"kind,omitempty"`
	Account     AccountName `json:"account,omitempty"`
	Priority    int         `json:"priority"`
	TargetMS    int64       `json:"target_ms,omitempty"`
	TimeoutMS   int64       `json:"timeout_ms,omitempty"`
	// Verdict says what would happen if no service is considered.
	Verdict  string               `json:"verdict,omitempty"`
	Services []ServiceExplanation `json:"services,omitempty"`
}

// ServiceExplanation says what would happen to the request at a service of its route.
type ServiceExplanation struct {
	Service ServiceName `json:"service"`
	// Share is the fraction of the route's requests that go to the service.
	Share   float64 `json:"share"`
	Verdict string  `json:"verdict"`
	// Replica is where the request would go first, empty if nowhere yet.
	Replica BackendID `json:"replica,omitempty"`
	// RetryAfterMS is the retry delay of a refusal, 0 for none.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Waiting is the number of requests that wait for a slot of the service.
	Waiting    int                    `json:"waiting"`
	Candidates []CandidateExplanation `json:"candidates"`
}

// CandidateExplanation is what is known of a replica and what speaks against it.
type CandidateExplanation struct {
	Replica    BackendID  `json:"replica"`
	DataCentre DataCentre `json:"data_centre"`
	// Via is the host through which the request would go, empty for the direct path.
	Via         HostID  `json:"via,omitempty"`
	InFlight    int     `json:"in_flight"`
	Slots       int     `json:"slots"`
	FreeSlots   int     `json:"free_slots"`
	ExpectedMS  int64   `json:"expected_ms"`
	FailureRate float64 `json:"failure_rate"`
	// Against are the reasons why another replica would be chosen.
	Against []string `json:"against,omitempty"`
}
