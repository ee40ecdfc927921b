package limit

import (
	"maps"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/gypsumhook/gypsum"
)

// Parameters of request budgets.
const (
	// burstTime is the time whose permits may be used at once after a pause. Requests that
	// arrive together mostly wait for each other's permits: a replica that limits its rate
	// is short of capacity.
	burstTime = 250 * time.Millisecond
	// minRate is the least rate at which requests are sent. A replica that accepts none
	// must be asked now and then whether it still does not.
	minRate = 0.25
	// substituteShare is the share of a limit that a substitute gives permits for, while
	// the daemon in charge may still give its own.
	substituteShare = 1.0 / 3
	// maxDebt is the largest number of permits that requests sent without one take in
	// advance.
	maxDebt = 4
)

// budget is the request budget of one start of a replica.
type budget struct {
	incarnation gypsum.Incarnation
	bucket      *rate.Limiter
	usedAt      time.Time
}

// budgetKey identifies a budget. A daemon may be in charge of a replica for some daemons and
// a substitute for others.
type budgetKey struct {
	replica    gypsum.BackendID
	substitute bool
}

// Budgets are the request budgets that a daemon keeps on behalf of all daemons. It is safe
// for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	budgets map[budgetKey]*budget
}

// NewBudgets returns an empty set of budgets.
func NewBudgets() *Budgets { return &Budgets{budgets: make(map[budgetKey]*budget)} }

// bucket returns the token bucket of a replica with the given limit. It is empty at first,
// since another daemon may have been in charge before. The caller holds mu.
func (b *Budgets) bucket(key budgetKey, incarnation gypsum.Incarnation, limit gypsum.RequestRate, now time.Time) *rate.Limiter {
	perSecond := max(float64(limit), minRate)
	if key.substitute {
		perSecond *= substituteShare
	}
	burst := max(1, int(perSecond*burstTime.Seconds()))
	known := b.budgets[key]
	if known == nil || known.incarnation != incarnation {
		known = &budget{incarnation: incarnation, bucket: rate.NewLimiter(rate.Limit(perSecond), burst)}
		known.bucket.ReserveN(now, burst)
		b.budgets[key] = known
	}
	known.usedAt = now
	if known.bucket.Limit() != rate.Limit(perSecond) {
		known.bucket.SetLimitAt(now, rate.Limit(perSecond))
		known.bucket.SetBurstAt(now, burst)
	}
	return known.bucket
}

// Take takes a permit if one is available in time.
func (b *Budgets) Take(request gypsum.PermitRequest, now time.Time) gypsum.PermitResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(budgetKey{request.Replica, request.Substitute}, request.Incarnation, request.Limit, now)
	reservation := bucket.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > request.MaxWait {
		reservation.CancelAt(now)
		return gypsum.PermitResponse{Wait: wait}
	}
	return gypsum.PermitResponse{Granted: true, Wait: wait}
}

// Available returns the number of permits that can be taken now.
func (b *Budgets) Available(replica *gypsum.Replica, limit gypsum.RequestRate, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(budgetKey{replica: replica.ID}, replica.Incarnation, limit, now)
	return max(0, int(math.Floor(bucket.TokensAt(now))))
}

// Charge takes a permit in advance, for a request that is sent whether or not one is
// available.
func (b *Budgets) Charge(replica *gypsum.Replica, limit gypsum.RequestRate, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(budgetKey{replica: replica.ID}, replica.Incarnation, limit, now)
	if bucket.TokensAt(now) > -maxDebt {
		bucket.ReserveN(now, 1)
	}
}

// Prune drops the budgets that were not used for statementRetention.
func (b *Budgets) Prune(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.budgets, func(_ budgetKey, known *budget) bool { return now.Sub(known.usedAt) > statementRetention })
}
