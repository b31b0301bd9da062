package zones

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// reportsOf returns the reports of nine fronts, three in each zone. see returns the failure share that a front observes of a zone.
func reportsOf(see func(front int, zone string) float64) (reports []FrontReport) {
	for i := range 9 {
		r := FrontReport{Front: fmt.Sprint("n", i), Zone: allZones[i%3], Report: Report{Zones: allZones}}
		for _, zone := range allZones {
			failureShare := see(i, zone)
			r.Report.Observations = append(r.Report.Observations, Observation{Succeeded: uint32(100 * (1 - failureShare)), Failed: uint32(100 * failureShare)})
		}
		reports = append(reports, r)
	}
	return reports
}

// estimateOf returns the estimate of a zone.
func estimateOf(e *Estimator, reports []FrontReport, zone string) Estimate {
	for _, estimate := range e.Estimate(reports, leaseDuration) {
		if estimate.Zone == zone {
			return estimate
		}
	}
	return Estimate{}
}

func TestOneFrontsReportDoesNotCount(t *testing.T) {
	e := NewEstimator()
	one := reportsOf(func(front int, zone string) float64 {
		if front == 1 && zone == "a" {
			return 1
		}
		return 0.01
	})
	assert.Zero(t, estimateOf(e, one, "a").FailureShare)
	failing := reportsOf(func(_ int, zone string) float64 {
		if zone == "a" {
			return 0.9
		}
		return 0.01
	})
	estimate := estimateOf(e, failing, "a")
	assert.Greater(t, estimate.FailureShare, 0.8)
	assert.Equal(t, 9, estimate.FailureObservers)
	failing[4].Report.Observations[0] = Observation{Succeeded: 100} // one front that reports no failure has little influence
	assert.Greater(t, estimateOf(e, failing, "a").FailureShare, 0.6)
}

func TestZoneThatFailsFromOneOtherZoneOnlyIsPartitioned(t *testing.T) {
	estimate := estimateOf(NewEstimator(), reportsOf(func(front int, zone string) float64 {
		if zone == "a" && front%3 == 1 { // fronts of zone b
			return 1
		}
		return 0
	}), "a")
	assert.Equal(t, []string{"b"}, estimate.PartitionedFrom)
	assert.Zero(t, estimate.FailureShare)
}

func TestFrontsThatSeeOnlyFailuresDoNotCount(t *testing.T) {
	estimates := NewEstimator().Estimate(reportsOf(func(front int, _ string) float64 {
		if front == 0 || front == 4 { // these fronts see every zone failing
			return 1
		}
		return 0
	}), leaseDuration)
	for _, estimate := range estimates {
		assert.Zero(t, estimate.FailureShare, estimate.Zone)
		assert.Equal(t, 7, estimate.Observers, estimate.Zone)
	}
}

func TestFailuresCountAboveTheBaseline(t *testing.T) {
	e := NewEstimator()
	usual := reportsOf(func(int, string) float64 { return 0.12 }) // a deployment where errors are common
	for range 400 {
		e.LearnBaseline(usual, "b")
	}
	assert.Zero(t, estimateOf(e, reportsOf(func(int, string) float64 { return 0.24 }), "b").FailureShare, "within twice the usual")
	assert.Greater(t, estimateOf(e, reportsOf(func(int, string) float64 { return 0.8 }), "b").FailureShare, suspectThreshold)
}
