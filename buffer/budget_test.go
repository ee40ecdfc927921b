package buffer_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/buffer"
)

// TestBudget checks that pools of a budget together stay within it, that one leaves its reserve to the
// others, and that evicted and closed holders give back what they held, once.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	budget := buffer.NewBudget(100)
	bodies, responses := budget.NewPool(90, 20), budget.NewPool(60, 0)
	body := bodies.Open("", 1000, func() {}, now)
	is.NoErr(body.Add(70))
	is.True(errors.Is(body.Add(11), buffer.ErrFull)) // the reserve
	response := responses.Open("", 1000, nil, now)
	is.NoErr(response.Add(30))
	is.True(errors.Is(response.Add(1), buffer.ErrFull)) // the budget
	is.Equal(responses.Usage().Used, gypsum.Bytes(30))
	other := bodies.Open("", 1000, nil, now)
	is.NoErr(other.AddEvicting(40, time.Second, now.Add(2*time.Second)))
	is.True(!body.Keep())
	body.Close()
	is.NoErr(response.Add(30))
	other.Close()
	response.Close()
	whole := responses.Open("", 1000, nil, now)
	is.NoErr(whole.Add(60))
	is.NoErr(bodies.Open("", 1000, nil, now).Add(20)) // nothing was given back twice
	is.True(errors.Is(bodies.Open("", 1000, nil, now).Add(1), buffer.ErrFull))
}

// TestReadAll checks that bodies are read whole, and that memory is reserved before it is used.
func TestReadAll(t *testing.T) {
	errFull := errors.New("full")
	for _, size := range []int{0, 1, 8191, 8192, 8193, 100_000, 3 << 20} {
		for name, reader := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "end with data": iotest.DataErrReader,
		} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				var r buffer.Reader
				text, reserved := strings.Repeat("x", size), gypsum.Bytes(0)
				content, err := r.ReadAll(reader(strings.NewReader(text)), 8192, func(size gypsum.Bytes) error { reserved = size; return nil })
				is.NoErr(err)
				is.Equal(len(content), size)
				is.True(size <= 8192 || reserved >= gypsum.Bytes(size))
				is.True(reserved <= gypsum.Bytes(size+size/4+256<<10))
				_, err = r.ReadAll(reader(strings.NewReader(text)), 8192, func(gypsum.Bytes) error { return errFull })
				is.Equal(errors.Is(err, errFull), size > 8192)
				content, err = buffer.ReadFull(reader(strings.NewReader(text)), int64(size))
				is.NoErr(err)
				is.Equal(string(content), text)
				_, err = buffer.ReadFull(reader(strings.NewReader(text)), int64(size)+1)
				is.Equal(err, io.ErrUnexpectedEOF)
			})
		}
	}
}

// TestEndedHolderCountsNoMore checks that a holder that was aborted or closed adds nothing to its budget, which
// nobody would take back.
func TestEndedHolderCountsNoMore(t *testing.T) {
	is := is.New(t)
	budget := buffer.NewBudget(1000)
	pool, now := budget.NewPool(1000, 0), time.Now()
	slow, other := pool.Open("", 1000, func() {}, now), pool.Open("", 1000, nil, now)
	is.NoErr(slow.Add(600))
	is.NoErr(other.AddEvicting(600, time.Second, now.Add(2*time.Second)))
	is.True(errors.Is(slow.AddEvicting(100, time.Second, now), buffer.ErrEnded))
	slow.Close()
	other.Close()
	is.True(errors.Is(other.Add(100), buffer.ErrEnded))
	is.NoErr(pool.Open("", 1000, nil, now).Add(1000)) // all is free
}

// TestReserve checks that what a context's request holds counts until its holder is closed, and that it does
// not count without one.
func TestReserve(t *testing.T) {
	is := is.New(t)
	pool := buffer.NewPool(1000)
	is.NoErr(buffer.Reserve(context.Background(), 5000, time.Second))
	holder := pool.Open("", 1000, nil, time.Now())
	ctx := buffer.NewContext(context.Background(), holder)
	is.NoErr(buffer.Reserve(ctx, 700, time.Second))
	is.Equal(int(pool.Usage().Used), 700)
	is.True(errors.Is(buffer.Reserve(context.WithoutCancel(ctx), 700, time.Second), buffer.ErrConnectionFull))
	holder.Close()
	is.Equal(int(pool.Usage().Used), 0)
}
