package adapt

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/gypsumhook/gypsum"
)

// missing stands for an offset or a version until a response states one.
const missing = -1

// NewLog returns a client of the platform's log service.
//
//	POST BASE/streams/NAME/records  {"records":["BASE64",...]}  ->  {"offset":N}
//	GET  BASE/streams/NAME/records?from=N&max=N&wait=DURATION   ->  {"records":[...],"first":N,"next":N}
//
// A read of removed records returns status 410 with first and next set.
func NewLog(client *http.Client, baseURL string) gypsum.Log {
	return &logClient{client: client, baseURL: baseURL}
}

// logClient implements gypsum.Log.
type logClient struct {
	client  *http.Client
	baseURL string
}

// AppendRequest is the body of an append to the log service.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response to an append to the log service.
type AppendResponse struct {
	Offset gypsum.Offset `json:"offset"`
}

// recordsURL returns the URL of a stream's records.
func (l *logClient) recordsURL(stream gypsum.StreamName) string {
	return l.baseURL + "/streams/" + url.PathEscape(string(stream)) + "/records"
}

// Append implements gypsum.Log.
func (l *logClient) Append(ctx context.Context, stream gypsum.StreamName, records [][]byte) (gypsum.Offset, error) {
	response := AppendResponse{Offset: missing}
	err := doJSON(ctx, l.client, http.MethodPost, l.recordsURL(stream), AppendRequest{Records: records}, &response, maxReportBytes)
	if err == nil && response.Offset < 0 {
		err = errMissingValue
	}
	if err != nil {
		return 0, fmt.Errorf("append records: %v: %w", err, gypsum.ErrLogUnavailable)
	}
	return response.Offset, nil
}

// Read implements gypsum.Log.
func (l *logClient) Read(ctx context.Context, req gypsum.LogRead) (*gypsum.LogPage, error) {
	address := fmt.Sprintf("%s?from=%d&max=%d&wait=%s", l.recordsURL(req.Stream), req.From, req.Max, req.Wait)
	page := gypsum.LogPage{First: missing, Next: missing}
	err := doJSON(ctx, l.client, http.MethodGet, address, nil, &page, maxJSONBytes)
	if (err == nil || hasStatus(err, http.StatusGone)) && (page.First < 0 || page.Next < page.First) {
		err = errMissingValue
	}
	if hasStatus(err, http.StatusGone) {
		return &page, fmt.Errorf("read records: %w", gypsum.ErrTruncated)
	}
	if err != nil {
		return nil, fmt.Errorf("read records: %v: %w", err, gypsum.ErrLogUnavailable)
	}
	return &page, nil
}

// NewHostList returns a client of the platform's host list: GET BASE/hosts.
func NewHostList(client *http.Client, baseURL string) gypsum.HostList {
	return &hostListClient{client: client, baseURL: baseURL}
}

// hostListClient implements gypsum.HostList.
type hostListClient struct {
	client  *http.Client
	baseURL string
}

// Hosts implements gypsum.HostList.
func (h *hostListClient) Hosts(ctx context.Context) ([]gypsum.Host, error) {
	var hosts []gypsum.Host
	if err := doJSON(ctx, h.client, http.MethodGet, h.baseURL+"/hosts", nil, &hosts, maxJSONBytes); err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	if hosts == nil {
		return nil, fmt.Errorf("read host list: %w", errMissingValue)
	}
	return hosts, nil
}

// NewWeightStore returns a client of the platform's weight store:
// GET BASE/models/NAME/latest -> {"version":N}.
func NewWeightStore(client *http.Client, baseURL string) gypsum.WeightStore {
	return &weightStoreClient{client: client, baseURL: baseURL}
}

// weightStoreClient implements gypsum.WeightStore.
type weightStoreClient struct {
	client  *http.Client
	baseURL string
}

// LatestVersionResponse is the body of the weight store's response.
type LatestVersionResponse struct {
	Version gypsum.WeightVersion `json:"version"`
}

// LatestVersion implements gypsum.WeightStore.
func (w *weightStoreClient) LatestVersion(ctx context.Context, model string) (gypsum.WeightVersion, error) {
	response := LatestVersionResponse{Version: missing}
	if err := doJSON(ctx, w.client, http.MethodGet, w.baseURL+"/models/"+url.PathEscape(model)+"/latest", nil, &response, maxReportBytes); err != nil {
		return 0, fmt.Errorf("read latest weight version: %w", err)
	}
	if response.Version < 0 {
		return 0, fmt.Errorf("read latest weight version: %w", errMissingValue)
	}
	return response.Version, nil
}
