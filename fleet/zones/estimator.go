package zones

import (
	"cmp"
	"slices"
	"time"
)

const (
	minAttempts      = 5    // below which a front's observation of a zone is not conclusive
	suspectThreshold = 0.25 // failure share above the usual from which a zone is suspected
	trimDivisor      = 5    // a fifth of the samples is cut off at each end
	baselineFactor   = 2    // a zone's failures count as far as they exceed so many times its baseline
	baselineWeight   = 1.0 / 32
	maxSampleWeight  = 1000 // attempts
	minObservers     = 2    // that see failures: no front's report alone counts
)

// FrontReport is a front's report as the leaseholder has it.
type FrontReport struct {
	Front, Zone string
	Incarnation uint64
	Age         time.Duration
	Report      Report
}

// Estimate is the fleet's estimate of one zone.
type Estimate struct {
	Zone            string
	FailureShare    float64            // trimmed mean above the baseline of what fronts of other zones observe; of its own where no other observes it
	ByObserver      map[string]float64 // the same, by the observing fronts' zone
	Observers       int                // fronts whose reports count
	SeeFailures     int                // of them, those that see the zone failing
	PartitionedFrom []string           // the one zone from which alone it fails: a partition between two, not a failed zone
}

// Estimator estimates zones' failures from fronts' reports, against a baseline that it learns.
type Estimator struct {
	baseline map[string]float64 // by zone: its usual failure share
}

// NewEstimator makes an Estimator without a baseline.
func NewEstimator() *Estimator { return &Estimator{baseline: map[string]float64{}} }

// sample is one front's observation of a zone; its weight is its attempts.
type sample struct{ failureShare, weight float64 }

func sampleOf(o Observation) sample { return sample{o.failureShare(), o.attempts()} }

// usualFailures is the failure share up to which a zone is as it usually is.
func (e *Estimator) usualFailures(zone string) float64 { return baselineFactor * e.baseline[zone] }

// Estimate returns an estimate of each observed zone, by name. Reports older than maxAge do not count, nor those of fronts that are
// unreliable, or that see every zone failing while a neighbour sees a healthy one: what they observe is their own failure.
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

// estimateZone estimates one zone from samples by the observing fronts' zone.
func (e *Estimator) estimateZone(zone string, byObserver map[string][]sample) Estimate {
	usual := e.usualFailures(zone)
	estimate := Estimate{Zone: zone, ByObserver: map[string]float64{}}
	var ofOthers []sample
	failingFrom, healthyFrom := []string{}, 0
	for observer, samples := range byObserver {
		failureShare := max(0, trimmedMean(samples)-usual)
		estimate.ByObserver[observer] = failureShare
		estimate.Observers += len(samples)
		for _, s := range samples {
			if s.failureShare-usual > suspectThreshold {
				estimate.SeeFailures++
			}
		}
		if observer != zone {
			ofOthers = append(ofOthers, samples...)
		}
		if failureShare > suspectThreshold {
			failingFrom = append(failingFrom, observer)
		} else {
			healthyFrom++
		}
	}
	if len(ofOthers) == 0 {
		ofOthers = byObserver[zone]
	}
	estimate.FailureShare = max(0, trimmedMean(ofOthers)-usual)
	if len(failingFrom) == 1 && healthyFrom > 0 && failingFrom[0] != zone {
		estimate.PartitionedFrom, estimate.FailureShare = failingFrom, 0
	}
	if estimate.SeeFailures < minObservers {
		estimate.FailureShare = 0
	}
	return estimate
}

// LearnBaseline learns the usual failure share of a zone that is healthy.
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

// seesOnlyFailures reports whether a front sees all zones failing where another of its own zone sees one that is healthy.
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

// seesHealthyZone reports whether a report has a healthy zone, and whether it has a conclusive observation at all.
func (e *Estimator) seesHealthyZone(r Report) (seesHealthy, conclusive bool) {
	for i, zone := range r.Zones {
		if o := r.Observations[i]; o.conclusive() {
			conclusive = true
			seesHealthy = seesHealthy || o.failureShare()-e.usualFailures(zone) <= suspectThreshold
		}
	}
	return seesHealthy, conclusive
}

// trimmedMean is the weighted mean without the extremes, so that a front that reports wrongly, or observes what no other does, moves
// nothing.
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
