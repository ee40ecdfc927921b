package batch_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/batch"
	"github.com/gypsumhook/gypsum/fake"
)

// TestCountDaemons checks that only the records of daemons are counted, over several pages.
func TestCountDaemons(t *testing.T) {
	is := is.New(t)
	backing := fake.NewKeyedStore()
	manager := &batch.Manager{Store: backing, Topics: batch.Topics{State: "keyed.state"}}
	count, err := manager.CountDaemons(t.Context())
	is.NoErr(err)
	is.Equal(count, 0)
	for _, kind := range []string{"b", "n", "r"} {
		for i := range 780 {
			backing.AppendDirectly("keyed.state", gypsum.KeyedRecord{Key: fmt.Sprint(kind, "/", i), Value: []byte("v")})
		}
	}
	count, err = manager.CountDaemons(t.Context())
	is.NoErr(err)
	is.Equal(count, 780)
}
