package fleet_test

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/fleet"
)

// measureLargerFleets makes TestControlCost measure larger fleets as well.
var measureLargerFleets = flag.Bool("control", false, "measure the cost of control for larger fleets")

// controlDuration is the duration of a measurement in virtual time.
const controlDuration = 5 * time.Second

// maxControlBytesPerSecond limits the control traffic of one daemon, in and out, in fleets
// of up to 12 daemons, the size of today's deployments.
const maxControlBytesPerSecond = 6 << 10

// controlCase is the size of a fleet: the number of data centres, and of daemons and
// engines in each.
type controlCase struct {
	dataCentres, daemons, engines int
}

// layout returns the layout of the case, with four data centres in a region.
func (c controlCase) layout() fleet.Layout {
	layout := fleet.SmallLayout()
	layout.DataCentres = nil
	for i := range c.dataCentres {
		region := gypsum.Region(fmt.Sprintf("region-%d", i/4))
		layout.DataCentres = append(layout.DataCentres, fleet.DataCentre{
			Location: gypsum.Location{DataCentre: gypsum.DataCentre(fmt.Sprintf("centre-%02d", i)), Region: region},
			Daemons:  c.daemons, Engines: c.engines,
		})
	}
	return layout
}

// TestControlCost measures the control traffic and the processor time of a daemon without
// any calls. In fleets of up to 12 daemons it checks that the traffic stays within
// maxControlBytesPerSecond.
func TestControlCost(t *testing.T) {
	cases := []controlCase{{3, 1, 2}, {3, 2, 3}, {3, 4, 3}}
	if *measureLargerFleets {
		cases = append(cases, controlCase{1, 12, 24}, controlCase{1, 24, 48}, controlCase{1, 43, 86}, controlCase{6, 4, 8}, controlCase{18, 4, 8})
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d_centres_of_%d_daemons_%d_engines", c.dataCentres, c.daemons, c.engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := fleet.New(c.layout())
				defer f.Close()
				is.NoErr(f.Start(t.Context()))
				bytesBefore, appendsBefore, cpuBefore := totalControlBytes(f), f.Log.AppendCount(), cpuTime()
				time.Sleep(controlDuration)
				daemons := float64(c.dataCentres * c.daemons)
				bytesPerSecond := float64(totalControlBytes(f)-bytesBefore) / daemons / controlDuration.Seconds()
				cpuShare := (cpuTime() - cpuBefore).Seconds() / daemons / controlDuration.Seconds()
				t.Logf("for one daemon: %.0f bytes/s in and out, %.2f%% of a core (with its share of the stand-ins); log appends/s in total: %.1f",
					bytesPerSecond, 100*cpuShare, float64(f.Log.AppendCount()-appendsBefore)/controlDuration.Seconds())
				if c.dataCentres*c.daemons <= 12 {
					is.True(bytesPerSecond <= maxControlBytesPerSecond)
				}
			})
		})
	}
}

// totalControlBytes returns the control traffic of all daemons, in and out.
func totalControlBytes(f *fleet.Fleet) int64 {
	var sum int64
	for _, id := range f.LiveDaemons() {
		in, out := f.Core(id).ControlBytes()
		sum += in + out
	}
	return sum
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
