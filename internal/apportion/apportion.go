// Package apportion divides a total between nodes that can't ask one another: by stable hashes, with limits on what their
// parts may sum to.
//
// Everything in it is a pure function. Start reading at HashFraction.
package apportion

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// TailProbability is the probability with which a limit on a sum of fractions may be exceeded.
const TailProbability = 1e-5

const (
	// mantissaBits is how many bits of a hash make a fraction: as many as a float64 can hold exactly.
	mantissaBits = 53
	hashBits     = 64
	// bisectionSteps are enough for the precision of a float64 in the sums that nodes divide.
	bisectionSteps = 48
)

// HashFraction returns a number from 0 up to 1 that is stable for a node and a subject, and independent between different
// ones.
func HashFraction(node, subject string) float64 {
	sum := xxhash.Sum64String(node + "\x00" + subject)
	return float64(sum>>(hashBits-mantissaBits)) / (1 << mantissaBits)
}

// RoundByFraction rounds amount up where the fraction is below its fractional part, else down, so that over many independent
// fractions the mean is kept. A negative amount counts as 0.
func RoundByFraction(amount, fraction float64) int {
	amount = max(amount, 0)
	floor := math.Floor(amount)
	if fraction < amount-floor {
		floor++
	}
	return int(floor)
}

// MaxMeanWithin returns the greatest mean that a sum of independent draws of 0 or 1 may have for the sum to exceed the limit
// with TailProbability at most. By Chernoff, P(X >= k) <= exp(-(mean - k + k ln(k/mean))), with k the first count above the
// limit; the mean is found by bisection.
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

// HoeffdingMargin returns how far a sum of count independent draws from 0 to 1 may lie above its mean, but with
// TailProbability, by Hoeffding's inequality.
func HoeffdingMargin(count float64) float64 {
	return math.Sqrt(count * -math.Log(TailProbability) / 2)
}
