package gypsum_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
)

// TestServiceFor guards against accepted work that runs at a service to which its route gives no share, and checks that it
// stays where it was accepted for while the route still leads there.
func TestServiceFor(t *testing.T) {
	is := is.New(t)
	route := func(weights ...gypsum.WeightedService) *gypsum.Route { return &gypsum.Route{Services: weights} }
	share := func(service gypsum.ServiceName, weight float64) gypsum.WeightedService {
		return gypsum.WeightedService{Service: service, Weight: weight}
	}
	is.Equal(route(share("old", 0), share("new", 100)).ServiceFor("b", "old"), gypsum.ServiceName("new"))
	is.Equal(route(share("old", -1), share("new", 1)).ServiceFor("b", "old"), gypsum.ServiceName("new"))
	is.Equal(route(share("first", 1), share("second", 1)).ServiceFor("b", "second"), gypsum.ServiceName("second"))
	is.Equal(route(share("new", 1)).ServiceFor("b", "old"), gypsum.ServiceName("new"))
	is.Equal(route(share("new", 0)).ServiceFor("b", "old"), gypsum.ServiceName("new")) // all are without a share
	is.Equal(route().ServiceFor("b", "old"), gypsum.ServiceName("old"))
	moved, count := route(share("none", 0), share("few", 1), share("many", 3)), 0
	const batches = 4000
	for i := range batches {
		service := moved.ServiceFor(fmt.Sprint("b", i), "old")
		is.True(service != "none")
		is.Equal(moved.ServiceFor(fmt.Sprint("b", i), "old"), service) // at all daemons
		if service == "many" {
			count++
		}
	}
	is.True(math.Abs(float64(count)/batches-0.75) < 0.03)
}
