// Package buffer bounds the memory for requests and responses that wait for a slow reader: for
// each connection, for each client account and for the process. It only counts; it holds no
// bytes itself.
package buffer

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// Errors of Add.
var (
	// ErrConnectionFull is returned if a connection would hold more than its bound.
	ErrConnectionFull = errors.New("connection holds too many bytes")
	// ErrAccountFull is returned if an account would hold more than its share and than is free.
	ErrAccountFull = errors.New("account holds too many bytes")
	// ErrFull is returned if the process would hold more than its bound.
	ErrFull = errors.New("no memory left")
	// ErrEnded is returned if the connection was aborted or closed before.
	ErrEnded = errors.New("connection holds no memory any more")
)

// Budget bounds what several pools hold together. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a size.
func NewBudget(limit gypsum.Bytes) *Budget { return &Budget{limit: int64(limit)} }

// NewPool returns a pool with a bound of its own, which leaves reserve of the budget to the others.
func (b *Budget) NewPool(limit, reserve gypsum.Bytes) *Pool {
	pool := NewPool(min(limit, gypsum.Bytes(b.limit)-reserve))
	pool.budget, pool.reserve = b, int64(reserve)
	return pool
}

// take counts bytes of a pool, unless less than reserve would be left.
func (b *Budget) take(size, reserve int64) bool {
	if b.used.Add(size) > b.limit-reserve && size > 0 {
		b.used.Add(-size)
		return false
	}
	return true
}

// Pool counts the bytes that connections hold. It is safe for concurrent use.
type Pool struct {
	limit gypsum.Bytes
	// budget bounds the pool together with others, nil for none, of which it leaves reserve.
	budget  *Budget
	reserve int64

	mu        sync.Mutex
	used      gypsum.Bytes
	byAccount map[gypsum.AccountName]gypsum.Bytes
	holders   map[*Holder]struct{}
	evicted   int64
	rejected  int64
}

// NewPool returns a pool with a bound for the process.
func NewPool(limit gypsum.Bytes) *Pool {
	return &Pool{limit: limit, byAccount: make(map[gypsum.AccountName]gypsum.Bytes), holders: make(map[*Holder]struct{})}
}

// Usage is the state of a pool.
type Usage struct {
	Limit   gypsum.Bytes
	Used    gypsum.Bytes
	Holders int
	// Evicted is the number of slow connections that were aborted to make room, Rejected that
	// of the bytes that were not accepted.
	Evicted  int64
	Rejected int64
}

// Usage returns the state of the pool.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Limit: p.limit, Used: p.used, Holders: len(p.holders), Evicted: p.evicted, Rejected: p.rejected}
}

// Holder is the share of one connection. Its methods are safe for concurrent use.
type Holder struct {
	pool    *Pool
	account gypsum.AccountName
	limit   gypsum.Bytes
	abort   func()

	held gypsum.Bytes
	// progressedAt is when the reader last took bytes. evicted means that the holder was
	// aborted and counts no more, closed that its owner has ended it.
	progressedAt time.Time
	evicted      bool
	closed       bool
}

// Open returns the share of a connection of an account, empty for none, which may hold up to
// limit. abort ends the connection if the memory is needed for others and the reader is slow; nil
// means that the connection cannot be aborted.
func (p *Pool) Open(account gypsum.AccountName, limit gypsum.Bytes, abort func(), now time.Time) *Holder {
	h := &Holder{pool: p, account: account, limit: limit, abort: abort, progressedAt: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders[h] = struct{}{}
	return h
}

// Add counts bytes that the connection holds from now on, unless a bound does not allow them.
func (h *Holder) Add(size gypsum.Bytes) error {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	err := h.check(size)
	if err == nil && p.budget != nil && !p.budget.take(int64(size), p.reserve) {
		err = fmt.Errorf("%w: %d more than the budget allows", ErrFull, size)
	}
	if err != nil {
		p.rejected++
		return err
	}
	h.change(size)
	return nil
}

// remove is change for bytes that are not held any more. The caller holds mu.
func (h *Holder) remove(size gypsum.Bytes) {
	if h.pool.budget != nil && !h.evicted {
		h.pool.budget.take(-int64(size), 0)
	}
	h.change(-size)
}

// check returns the error of adding size. What an account holds first may take all that is free: a
// large body must not be refused while nothing is short. The caller holds mu.
func (h *Holder) check(size gypsum.Bytes) error {
	p := h.pool
	switch {
	case h.evicted, h.closed:
		return ErrEnded
	case h.held+size > h.limit:
		return fmt.Errorf("%w: %d and %d of %d", ErrConnectionFull, h.held, size, h.limit)
	case p.used+size > p.limit:
		return fmt.Errorf("%w: %d and %d of %d", ErrFull, p.used, size, p.limit)
	case h.account != "" && p.byAccount[h.account] > 0 && p.byAccount[h.account]+size > p.accountLimit(h.account):
		return fmt.Errorf("%w: %d and %d of %d", ErrAccountFull, p.byAccount[h.account], size, p.accountLimit(h.account))
	}
	return nil
}

// accountLimit returns how much an account may hold: an equal share of the memory among the
// accounts that hold any, or as much as is free besides if that is more. One account alone leaves
// half to the next one. The caller holds mu.
func (p *Pool) accountLimit(account gypsum.AccountName) gypsum.Bytes {
	accounts := len(p.byAccount)
	if _, ok := p.byAccount[account]; !ok {
		accounts++
	}
	return max(p.limit/gypsum.Bytes(max(2, accounts)), p.limit-p.used)
}

// change adds size, which may be negative. The caller holds mu.
func (h *Holder) change(size gypsum.Bytes) {
	if h.evicted {
		return
	}
	p := h.pool
	h.held += size
	p.used += size
	if h.account == "" {
		return
	}
	if p.byAccount[h.account] += size; p.byAccount[h.account] == 0 {
		delete(p.byAccount, h.account)
	}
}

// Remove counts bytes that the connection no longer holds, since its reader took them.
func (h *Holder) Remove(size gypsum.Bytes, now time.Time) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.remove(size)
	h.progressedAt = now
}

// Progress records that the reader took bytes, which stay in memory until the rest is taken.
func (h *Holder) Progress(now time.Time) { h.Remove(0, now) }

// Keep makes the connection one that cannot be aborted. It reports false if it was aborted before.
func (h *Holder) Keep() bool {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.abort = nil
	return !h.evicted
}

// Abortable makes the connection one that may be aborted again, as while its reader takes a response.
func (h *Holder) Abortable(abort func(), now time.Time) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.abort, h.progressedAt = abort, now
}

// Close removes the holder and all its bytes.
func (h *Holder) Close() {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.remove(h.held)
	h.closed = true
	delete(h.pool.holders, h)
}

// AddEvicting is like Add. If memory is short, it first aborts the connections whose readers
// took nothing for longer than grace, the slowest first: those of the same account if the account
// is at its bound, otherwise those of all.
func (h *Holder) AddEvicting(size gypsum.Bytes, grace time.Duration, now time.Time) error {
	for {
		err := h.Add(size)
		if err == nil || errors.Is(err, ErrConnectionFull) || errors.Is(err, ErrEnded) || !h.pool.evictSlowest(h, errors.Is(err, ErrAccountFull), grace, now) {
			return err
		}
	}
}

// evictSlowest aborts the connection whose reader has taken nothing for the longest time, of the
// same account as h or of all. It reports false if none is slow enough.
func (p *Pool) evictSlowest(h *Holder, sameAccount bool, grace time.Duration, now time.Time) bool {
	p.mu.Lock()
	var slowest *Holder
	for other := range p.holders {
		if other == h || other.abort == nil || other.held == 0 || other.evicted || now.Sub(other.progressedAt) <= grace || (sameAccount && other.account != h.account) {
			continue
		}
		if slowest == nil || other.progressedAt.Before(slowest.progressedAt) {
			slowest = other
		}
	}
	if slowest == nil {
		p.mu.Unlock()
		return false
	}
	// Its bytes count for a moment longer than they are counted here, until its goroutine ends.
	slowest.remove(slowest.held)
	slowest.evicted = true
	p.evicted++
	abort := slowest.abort
	p.mu.Unlock()
	abort()
	return true
}
