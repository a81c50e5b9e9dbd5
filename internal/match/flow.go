package match

import (
	"math"
	"slices"
)

type arc struct {
	column int
	cost   float64
}

type hop struct {
	row, arc int
}

type flow struct {
	chosen  []int
	load    []int
	rows    []float64
	columns []float64
	from    []hop
}

func sized[Value any](buffer []Value, length int, fill Value) []Value {
	buffer = slices.Grow(buffer[:0], length)[:length]
	for position := range buffer {
		buffer[position] = fill
	}
	return buffer
}

func (f *flow) assign(rows [][]arc, capacity []int) []int {
	f.chosen = sized(f.chosen, len(rows), -1)
	f.load = sized(f.load, len(capacity), 0)
	for {
		end, gain := f.shortest(rows, capacity)
		if end < 0 || gain >= 0 {
			return f.chosen
		}
		f.load[end]++
		for column, left := end, len(rows); column >= 0 && left > 0; left-- {
			taken := f.from[column]
			freed := f.chosen[taken.row]
			f.chosen[taken.row] = taken.arc
			column = -1
			if freed >= 0 {
				column = rows[taken.row][freed].column
			}
		}
	}
}

func (f *flow) shortest(rows [][]arc, capacity []int) (int, float64) {
	unreached := math.Inf(1)
	f.rows = sized(f.rows, len(rows), unreached)
	f.columns = sized(f.columns, len(capacity), unreached)
	f.from = sized(f.from, len(capacity), hop{-1, -1})
	for row, at := range f.chosen {
		if at < 0 {
			f.rows[row] = 0
		}
	}
	for changed, round := true, 0; changed && round <= len(rows)+len(capacity); round++ {
		changed = false
		for row, arcs := range rows {
			if f.rows[row] == unreached {
				continue
			}
			for at, one := range arcs {
				if f.chosen[row] == at || capacity[one.column] <= 0 {
					continue
				}
				if reached := f.rows[row] + one.cost; reached < f.columns[one.column]-1e-12 {
					f.columns[one.column], f.from[one.column], changed = reached, hop{row, at}, true
				}
			}
		}
		for row, at := range f.chosen {
			if at < 0 || f.columns[rows[row][at].column] == unreached {
				continue
			}
			taken := rows[row][at]
			if reached := f.columns[taken.column] - taken.cost; reached < f.rows[row]-1e-12 {
				f.rows[row], changed = reached, true
			}
		}
	}
	best := -1
	for column, distance := range f.columns {
		if f.load[column] < capacity[column] && distance != unreached && (best < 0 || distance < f.columns[best]) {
			best = column
		}
	}
	if best < 0 {
		return -1, 0
	}
	return best, f.columns[best]
}
