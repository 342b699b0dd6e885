package meter

import (
	"maps"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// usualBuckets is the number of buckets whose median is the usual arrival rate. A burst of up
// to half of them doesn't change it.
const usualBuckets = 15

// forecast holds the arrival rates of the latest buckets.
type forecast struct {
	rates  [usualBuckets]float64
	next   int
	filled int
	median float64
	// byRank holds the recent arrival rates by rank: of the last bucket, or the averaged ones
	// if these are higher.
	byRank map[int]*rankRate
}

type rankRate struct{ last, averaged float64 }

// add adds the arrivals of a bucket, in slot time by rank, and the empty buckets after it.
func (f *forecast) add(arrived map[int]float64, buckets int) {
	if f.byRank == nil {
		f.byRank = map[int]*rankRate{}
	}
	for _, rank := range slices.Sorted(maps.Keys(arrived)) {
		if f.byRank[rank] == nil {
			f.byRank[rank] = &rankRate{}
		}
	}
	for i := range min(buckets, usualBuckets) {
		sum := 0.0
		for _, rank := range slices.Sorted(maps.Keys(f.byRank)) {
			x := f.byRank[rank]
			x.last = 0
			if i == 0 {
				x.last = arrived[rank] / bucketLength.Seconds()
			}
			x.averaged += recentWeight * (x.last - x.averaged)
			sum += x.last
		}
		f.rates[f.next] = sum
		f.next = (f.next + 1) % usualBuckets
		f.filled = min(f.filled+1, usualBuckets)
	}
	sorted := f.rates
	slices.Sort(sorted[:f.filled])
	f.median = sorted[f.filled/2]
}

// UsualArrivalRate returns the median arrival rate of the last seconds, in slot time per time,
// and false if none was measured.
func (m *Meter) UsualArrivalRate() (float64, bool) {
	return m.forecast.median, m.forecast.filled > 0
}

// RecentArrivalRateAbove returns the recent arrival rate of all ranks above the given one, with
// requests beyond their team's share.
func (m *Meter) RecentArrivalRateAbove(rank int) float64 {
	sum := 0.0
	for _, x := range slices.Sorted(maps.Keys(m.forecast.byRank)) {
		if x%rules.ExcessPriorityOffset < rank {
			sum += max(m.forecast.byRank[x].last, m.forecast.byRank[x].averaged)
		}
	}
	return sum
}
