package zones

import (
	"cmp"
	"slices"
	"time"
)

const (
	minAttempts      = 5        // with fewer attempts, a front's observation of a zone is not conclusive
	suspectThreshold = 0.25     // failure share above the expected one from which a zone is suspected
	trimDivisor      = 5        // trimmedMean ignores a fifth of the samples at each end
	baselineFactor   = 2        // the expected failure share is this multiple of the zone's baseline
	baselineWeight   = 1.0 / 32 // of each new mean in the baseline
	maxSampleWeight  = 1000     // in attempts
	minObservers     = 2        // fronts that must see failures: one front's report alone does not count
)

// FrontReport is a front's report as the leaseholder received it.
type FrontReport struct {
	Front, Zone string
	Incarnation uint64
	Age         time.Duration
	Report      Report
}

// Estimate is the fleet's estimate of how far the share of failed attempts at the servers of one zone exceeds the share that is usual
// there.
type Estimate struct {
	Zone             string
	FailureShare     float64            // trimmed mean above the expected share, as seen from other zones, or by its own fronts if no others report
	ByObserver       map[string]float64 // the same, by the zone of the observing fronts
	Observers        int                // number of fronts whose reports count
	FailureObservers int                // number of those fronts that see the zone failing
	PartitionedFrom  []string           // the only zone from which it fails: the two are partitioned, and the zone itself has not failed
}

// Estimator estimates the failures of zones from fronts' reports, relative to a baseline that it learns.
type Estimator struct {
	baseline map[string]float64 // by zone: usual failure share
}

// NewEstimator makes an Estimator without a baseline.
func NewEstimator() *Estimator { return &Estimator{baseline: map[string]float64{}} }

// sample is one front's observation of a zone. Its weight is the number of attempts.
type sample struct{ failureShare, weight float64 }

// sampleOf returns an observation as a sample.
func sampleOf(o Observation) sample { return sample{o.failureShare(), o.attempts()} }

// expectedFailureShare returns the failure share up to which a zone counts as healthy: twice its baseline.
func (e *Estimator) expectedFailureShare(zone string) float64 {
	return baselineFactor * e.baseline[zone]
}

// Estimate returns an estimate of the failures of each observed zone, sorted by name. It ignores reports that are older than maxAge or
// unreliable. It also ignores a front that sees every zone failing while another front of its zone sees a healthy one, because that
// front observes its own failure.
func (e *Estimator) Estimate(reports []FrontReport, maxAge time.Duration) (estimates []Estimate) {
	samples := map[string]map[string][]sample{} // by zone, by the observing front's zone
	for _, r := range reports {
		if r.Age > maxAge || r.Report.Unreliable || e.seesOnlyFailures(r, reports, maxAge) {
			continue
		}
		for i, zone := range r.Report.Zones {
			if o := r.Report.Observations[i]; o.conclusive() {
				if samples[zone] == nil {
					samples[zone] = map[string][]sample{}
				}
				samples[zone][r.Zone] = append(samples[zone][r.Zone], sampleOf(o))
			}
		}
	}
	for zone, byObserver := range samples {
		estimates = append(estimates, e.estimateZone(zone, byObserver))
	}
	slices.SortFunc(estimates, func(a, b Estimate) int { return cmp.Compare(a.Zone, b.Zone) })
	return estimates
}

// estimateZone estimates the failures of one zone from samples, which are grouped by the zone of the observing fronts.
func (e *Estimator) estimateZone(zone string, byObserver map[string][]sample) Estimate {
	expected := e.expectedFailureShare(zone)
	estimate := Estimate{Zone: zone, ByObserver: map[string]float64{}}
	var otherZonesSamples []sample
	failingFrom, healthyFrom := []string{}, 0
	for observer, samples := range byObserver {
		failureShare := max(0, trimmedMean(samples)-expected)
		estimate.ByObserver[observer] = failureShare
		estimate.Observers += len(samples)
		for _, s := range samples {
			if s.failureShare-expected > suspectThreshold {
				estimate.FailureObservers++
			}
		}
		if observer != zone {
			otherZonesSamples = append(otherZonesSamples, samples...)
		}
		if failureShare > suspectThreshold {
			failingFrom = append(failingFrom, observer)
		} else {
			healthyFrom++
		}
	}
	if len(otherZonesSamples) == 0 {
		otherZonesSamples = byObserver[zone]
	}
	estimate.FailureShare = max(0, trimmedMean(otherZonesSamples)-expected)
	if len(failingFrom) == 1 && healthyFrom > 0 && failingFrom[0] != zone {
		estimate.PartitionedFrom, estimate.FailureShare = failingFrom, 0
	}
	if estimate.FailureObservers < minObservers {
		estimate.FailureShare = 0
	}
	return estimate
}

// LearnBaseline updates the baseline of a zone, which must be healthy.
func (e *Estimator) LearnBaseline(reports []FrontReport, zone string) {
	var samples []sample
	for _, r := range reports {
		for i, z := range r.Report.Zones {
			if o := r.Report.Observations[i]; z == zone && o.conclusive() {
				samples = append(samples, sampleOf(o))
			}
		}
	}
	if len(samples) > 0 {
		e.baseline[zone] += (min(trimmedMean(samples), suspectThreshold/2) - e.baseline[zone]) * baselineWeight
	}
}

// seesOnlyFailures reports whether a front sees all zones failing while another front of its zone sees a healthy one.
func (e *Estimator) seesOnlyFailures(r FrontReport, reports []FrontReport, maxAge time.Duration) bool {
	if seesHealthy, conclusive := e.seesHealthyZone(r.Report); seesHealthy || !conclusive {
		return false
	}
	return slices.ContainsFunc(reports, func(other FrontReport) bool {
		if other.Front == r.Front || other.Zone != r.Zone || other.Age > maxAge || other.Report.Unreliable {
			return false
		}
		seesHealthy, _ := e.seesHealthyZone(other.Report)
		return seesHealthy
	})
}

// seesHealthyZone reports whether a report shows a healthy zone, and whether it has any conclusive observation.
func (e *Estimator) seesHealthyZone(r Report) (seesHealthy, conclusive bool) {
	for i, zone := range r.Zones {
		if o := r.Observations[i]; o.conclusive() {
			conclusive = true
			seesHealthy = seesHealthy || o.failureShare()-e.expectedFailureShare(zone) <= suspectThreshold
		}
	}
	return seesHealthy, conclusive
}

// trimmedMean returns the weighted mean without the extreme samples. A front that reports wrongly, or observes what no other front does,
// thereby has no influence.
func trimmedMean(all []sample) float64 {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b sample) int { return cmp.Compare(a.failureShare, b.failureShare) })
	cut := len(sorted) / trimDivisor
	if cut == 0 && len(sorted) >= 3 {
		cut = 1
	}
	sum, weight := 0.0, 0.0
	for _, s := range sorted[cut : len(sorted)-cut] {
		w := min(s.weight, maxSampleWeight)
		sum, weight = sum+s.failureShare*w, weight+w
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}
