// Package apportion divides a total between nodes without communication: by stable hashes, and with probabilistic limits on
// the sum of their parts.
//
// All functions are pure. Start reading at HashFraction.
package apportion

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// TailProbability is the highest accepted probability that a limit on a sum is exceeded.
const TailProbability = 1e-5

const (
	// mantissaBits is the number of bits of a hash that make a fraction: as many as a float64 represents exactly.
	mantissaBits = 53
	hashBits     = 64
	// bisectionSteps is enough for float64 precision at the sums that nodes divide.
	bisectionSteps = 48
)

// HashFraction returns a fraction in [0, 1) that is stable for a pair of node and subject, and independent between different
// pairs.
func HashFraction(node, subject string) float64 {
	sum := xxhash.Sum64String(node + "\x00" + subject)
	return float64(sum>>(hashBits-mantissaBits)) / (1 << mantissaBits)
}

// RoundByFraction rounds amount up if fraction is less than its fractional part, else down, so that the mean over many
// independent fractions is preserved. A negative amount counts as 0.
func RoundByFraction(amount, fraction float64) int {
	amount = max(amount, 0)
	floor := math.Floor(amount)
	if fraction < amount-floor {
		floor++
	}
	return int(floor)
}

// MaxMeanWithin returns the greatest mean of a sum of independent Bernoulli variables for which the sum exceeds the limit with
// probability TailProbability at most. It uses the Chernoff bound P(X >= k) <= exp(-(mean - k + k ln(k/mean))), where k is the
// first count above the limit, and finds the mean by bisection.
func MaxMeanWithin(limit float64) float64 {
	above := math.Floor(limit) + 1
	low, high := 0.0, above
	for range bisectionSteps {
		mean := (low + high) / 2
		if mean-above+above*math.Log(above/mean) >= -math.Log(TailProbability) {
			low = mean
		} else {
			high = mean
		}
	}
	return low
}

// HoeffdingMargin returns the margin above its mean that a sum of count independent variables in [0, 1] exceeds with
// probability TailProbability at most, by Hoeffding's inequality.
func HoeffdingMargin(count float64) float64 {
	return math.Sqrt(count * -math.Log(TailProbability) / 2)
}
