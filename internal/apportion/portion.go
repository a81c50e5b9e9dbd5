// Package apportion divides a whole between daemons that can't ask one another: by stable hashes,
// with bounds on what their parts may sum to.
//
// Everything in it is a pure function. Start reading at HashFraction.
package apportion

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// TailProbability is the chance that a bound on a sum of draws may be passed with.
const TailProbability = 1e-5

// HashFraction returns a number from 0 up to 1 that is stable for a daemon and a subject and independent
// between different ones.
func HashFraction(node, subject string) float64 {
	return float64(xxhash.Sum64String(node+"\x00"+subject)>>11) / (1 << 53)
}

// RoundByFraction rounds amount down or up, up where draw is below its fraction, so that over many draws the
// mean is kept.
func RoundByFraction(amount, fraction float64) int {
	floor := math.Floor(max(amount, 0))
	if fraction < max(amount, 0)-floor {
		floor++
	}
	return int(floor)
}

// MaxMeanWithin returns the greatest mean of a sum of independent draws whose chance of passing the bound stays below
// the tail by Chernoff: P(X >= k) <= exp(-(mean - k + k ln(k/mean))) with k the first count above.
func MaxMeanWithin(limit float64) float64 {
	above := math.Floor(limit) + 1
	low, high := 0.0, above
	for range 48 {
		mean := (low + high) / 2
		if mean-above+above*math.Log(above/mean) >= -math.Log(TailProbability) {
			low = mean
		} else {
			high = mean
		}
	}
	return low
}

// SpreadMargin returns how far a sum of count independent draws may lie above its mean but with chance
// Tail (Hoeffding's bound).
func SpreadMargin(count float64) float64 {
	return math.Sqrt(count * -math.Log(TailProbability) / 2)
}
