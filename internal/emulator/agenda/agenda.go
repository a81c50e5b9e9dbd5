package agenda

import (
	"time"

	"github.com/google/btree"
)

type moment struct {
	at     time.Time
	number int
	act    func()
}

func (m moment) less(other moment) bool {
	if !m.at.Equal(other.at) {
		return m.at.Before(other.at)
	}
	return m.number < other.number
}

type Agenda struct {
	now     time.Time
	moments *btree.BTreeG[moment]
	number  int
}

func New(began time.Time) *Agenda {
	return &Agenda{now: began, moments: btree.NewG(32, moment.less)}
}

func (a *Agenda) Now() time.Time { return a.now }

func (a *Agenda) At(at time.Time, act func()) {
	a.number++
	a.moments.ReplaceOrInsert(moment{at, a.number, act})
}

func (a *Agenda) After(wait time.Duration, act func()) { a.At(a.now.Add(max(wait, 0)), act) }

func (a *Agenda) Step() bool {
	next, some := a.moments.DeleteMin()
	if !some {
		return false
	}
	if next.at.After(a.now) {
		a.now = next.at
	}
	next.act()
	return true
}

func (a *Agenda) Until(end time.Time) {
	for {
		next, some := a.moments.Min()
		if !some || next.at.After(end) {
			a.now = end
			return
		}
		a.Step()
	}
}
