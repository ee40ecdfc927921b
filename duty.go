package gypsum

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Duty is a kind of calls to the platform's API that only one daemon makes at a time.
type Duty string

// The duties.
const (
	DutyUsage    Duty = "usage_report"
	DutyCapacity Duty = "autoscale"
)

// DutyAuthority identifies the holder in a call of a duty. The fencing token is the offset of the
// log record that made the host the holder, so that it rises with each change of the holder.
type DutyAuthority struct {
	Holder       HostID
	FencingToken Offset
}

// UsageWindow is the number of a reporting window. Window k begins k window lengths after the
// start of 1970.
type UsageWindow int64

// UsageReport holds the number of requests of each account that replicas began to run in a window.
type UsageReport struct {
	Window UsageWindow
	Counts map[AccountName]int64
}

// RunObserver is told of the live requests that replicas began to run.
type RunObserver interface {
	// ObserveRun is called once for a request of an account of which a replica began to run it,
	// or most probably did, with the estimated moment. It must not block.
	ObserveRun(account AccountName, began time.Time)
}

// CapacityOrder orders a number of replicas of a service in a data centre. Reclaimable replicas
// cost less and may be taken away, all of a data centre at the same time.
type CapacityOrder struct {
	Service     ServiceName
	DataCentre  DataCentre
	Replicas    int
	Reclaimable bool
}

// DutyClient makes the calls of duties to the platform's API. An error other than the ones
// below means that the call may have been executed, or may still be executed later.
type DutyClient interface {
	ReportUsage(ctx context.Context, authority DutyAuthority, report UsageReport) error
	OrderCapacity(ctx context.Context, authority DutyAuthority, order CapacityOrder) error
}

// Errors of a DutyClient. The call was not executed.
var (
	// ErrDutyRateLimited is returned when all daemons together made too many calls.
	ErrDutyRateLimited = errors.New("too many calls of duties")
	// ErrDutyConflict is returned when a higher fencing token was seen, or when no such replicas
	// are available now. The platform's API does not tell the two apart.
	ErrDutyConflict = errors.New("call of a duty rejected by the platform's API")
	// ErrDutyUnavailable is returned when the platform's API was not reached or refused the call.
	ErrDutyUnavailable = errors.New("platform's API unavailable")
)
