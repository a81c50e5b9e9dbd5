package integration

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	syncTime           = 4 * time.Second
	sweepEnd           = 8 * time.Second
	sweepStep          = 400 * time.Millisecond
	sweepStride        = 10
	recoveryTimeout    = 10 * time.Second
	wipedRestartDelay  = time.Second
	killedRestartDelay = 3 * time.Second
	newcomerDelay      = 500 * time.Millisecond
)

func TestMembership_SecondLossDuringReplacementLosesNothing(t *testing.T) {
	for index, first := range firstLosses {
		for _, second := range secondLosses {
			for _, moment := range sweepMoments(3 * index) {
				t.Run(fmt.Sprintf("%s, another %s, %s", first.name, second.name, moment), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runLosses(t, 3, first, second, moment, []int{1}, []int{4}, []int{2}) })
				})
			}
		}
	}
}

func TestMembership_TwoOfFiveLostThenTwoMoreLosesNothing(t *testing.T) {
	for index, first := range firstLosses {
		for _, second := range secondLosses {
			all := sweepMoments(3 * index)
			for position := 0; position < len(all); position += casesFor(2, 1) {
				t.Run(fmt.Sprintf("%s, others %s, %s", first.name, second.name, all[position]), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						runLosses(t, 5, first, second, all[position], []int{1, 2}, []int{6, 7}, []int{3, 4})
					})
				})
			}
		}
	}
}

func runLosses(t *testing.T, cores int, first firstLoss, second secondLoss, moment time.Duration, lost, newcomers, lostNext []int) {
	s := newLossScenario(t, cores)
	began := time.Now()
	if second.notBefore == 0 {
		began = began.Add(moment)
		go first.apply(s, lost, newcomers)
	} else {
		began = first.apply(s, lost, newcomers).Add(second.notBefore + moment)
	}
	time.Sleep(time.Until(began))
	second.apply(s, lostNext)
	s.finish(t)
}
