package buffer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
)

var now = time.Unix(1000, 0)

// TestBounds guards against a connection, an account or all together that hold more than their
// bounds, and against one account that leaves no memory to another.
func TestBounds(t *testing.T) {
	is := is.New(t)
	pool := buffer.NewPool(1000)
	first, second, other := pool.Open("a", 400, nil, now), pool.Open("a", 400, nil, now), pool.Open("b", 400, nil, now)
	is.NoErr(first.Add(400))
	is.True(errors.Is(first.Add(1), buffer.ErrConnectionFull))
	is.True(errors.Is(second.Add(300), buffer.ErrAccountFull)) // 700 of one account, 600 free
	is.NoErr(second.Add(100))
	is.NoErr(other.Add(350)) // more than is left after it, but less than half
	otherToo := pool.Open("b", 400, nil, now)
	is.NoErr(otherToo.Add(100))
	third := pool.Open("c", 400, nil, now)
	is.NoErr(third.Add(40))
	is.True(errors.Is(otherToo.Add(5), buffer.ErrAccountFull)) // a third each now
	unnamed := pool.Open("", 1000, nil, now)
	is.True(errors.Is(unnamed.Add(11), buffer.ErrFull))
	is.NoErr(unnamed.Add(10))
	is.Equal(pool.Usage().Used, gypsum.Bytes(1000))
	for _, h := range []*buffer.Holder{first, second, other, otherToo, third, unnamed} {
		h.Close()
	}
	is.Equal(pool.Usage(), buffer.Usage{Limit: 1000, Rejected: 4})
}

// TestSlowestIsEvicted guards against a fast reader that loses its response because slow ones
// hold all the memory, and against the eviction of a reader that makes progress.
func TestSlowestIsEvicted(t *testing.T) {
	is := is.New(t)
	pool := buffer.NewPool(1000)
	var aborted []string
	open := func(name string, account gypsum.AccountName) *buffer.Holder {
		return pool.Open(account, 1000, func() { aborted = append(aborted, name) }, now)
	}
	fast, slow, slowest := open("fast", ""), open("slow", ""), open("slowest", "")
	is.NoErr(fast.Add(300))
	is.NoErr(slow.Add(300))
	is.NoErr(slowest.Add(300))
	slow.Progress(now.Add(time.Second))
	fast.Progress(now.Add(3 * time.Second))
	next := open("next", "")
	is.NoErr(next.AddEvicting(300, time.Second, now.Add(3*time.Second)))
	is.Equal(aborted, []string{"slowest"})
	is.NoErr(next.AddEvicting(300, time.Second, now.Add(3*time.Second)))
	is.Equal(aborted, []string{"slowest", "slow"})
	is.True(errors.Is(next.AddEvicting(300, time.Second, now.Add(3*time.Second)), buffer.ErrFull)) // the others are fast
	slowest.Close()
	slow.Close()
	is.Equal(pool.Usage().Used, gypsum.Bytes(900))
	is.Equal(pool.Usage().Evicted, int64(2))
}

// TestEvictionWithinAccount guards against an account at its bound that ends connections of
// others.
func TestEvictionWithinAccount(t *testing.T) {
	is := is.New(t)
	pool := buffer.NewPool(1000)
	var aborted []string
	open := func(name string, account gypsum.AccountName) *buffer.Holder {
		return pool.Open(account, 1000, func() { aborted = append(aborted, name) }, now)
	}
	other, own := open("other", "b"), open("own", "a")
	is.NoErr(other.Add(200))
	is.NoErr(own.Add(400))
	next := open("next", "a")
	is.NoErr(next.AddEvicting(300, time.Second, now.Add(2*time.Second)))
	is.Equal(aborted, []string{"own"})
}

// TestAccounting guards against counts that differ from what is held after any sequence of
// calls.
func TestAccounting(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		pool := buffer.NewPool(10_000)
		held := make(map[*buffer.Holder]gypsum.Bytes)
		var open []*buffer.Holder
		for range 500 {
			switch {
			case len(open) == 0 || random.IntN(4) == 0:
				open = append(open, pool.Open([]gypsum.AccountName{"", "a", "b"}[random.IntN(3)], 3000, nil, now))
			case random.IntN(5) == 0:
				open[0].Close()
				delete(held, open[0])
				open = open[1:]
			default:
				h := open[random.IntN(len(open))]
				size := gypsum.Bytes(random.IntN(1000))
				if random.IntN(2) == 0 && held[h] >= size {
					h.Remove(size, now)
					held[h] -= size
				} else if h.Add(size) == nil {
					held[h] += size
				}
			}
			total := gypsum.Bytes(0)
			for _, size := range held {
				is.True(size <= 3000)
				total += size
			}
			is.Equal(pool.Usage().Used, total)
			is.True(total <= 10_000)
		}
	}
}

// TestAccountsShareMemory guards against an account that takes all memory, and against a large body
// that is refused although the memory is free.
func TestAccountsShareMemory(t *testing.T) {
	is := is.New(t)
	const limit = gypsum.Bytes(46 << 20)
	acquire := func(pool *buffer.Pool, account gypsum.AccountName, size gypsum.Bytes) *buffer.Holder {
		holder := pool.Open(account, limit, nil, now)
		if holder.Add(size) != nil {
			holder.Close()
			return nil
		}
		return holder
	}
	pool := buffer.NewPool(limit)
	large := acquire(pool, "large", 32<<20)
	is.True(large != nil) // alone
	is.True(acquire(pool, "large", 32<<20) == nil)
	large.Close()
	is.True(acquire(pool, "large", limit+1) == nil)
	var held []*buffer.Holder
	for holder := acquire(pool, "burst", 1<<20); holder != nil; holder = acquire(pool, "burst", 1<<20) {
		held = append(held, holder)
	}
	is.Equal(len(held), 23)
	for i := range 20 {
		is.True(acquire(pool, gypsum.AccountName(fmt.Sprint("a", i)), 1<<20) != nil)
	}
	is.True(acquire(pool, "burst", 1<<20) == nil)
	for _, holder := range held {
		holder.Close()
	}
	for range 3 {
		is.True(acquire(pool, "burst", 1<<20) != nil)
	}
	undivided := buffer.NewPool(limit)
	for range 46 {
		is.True(acquire(undivided, "", 1<<20) != nil) // without accounts only the limit counts
	}
	is.True(acquire(undivided, "", 1) == nil)
}
