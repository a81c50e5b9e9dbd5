package usage

import "time"

// Windows divides wall-clock time into consecutive windows of equal length, numbered from the Unix epoch.
type Windows struct {
	Length time.Duration
}

// At returns the number of the window that contains the given time.
func (w Windows) At(moment time.Time) uint64 {
	return uint64(moment.UnixNano() / int64(w.Length))
}

// End returns the end of a window, which is the start of the next one.
func (w Windows) End(number uint64) time.Time {
	return time.Unix(0, int64(number+1)*int64(w.Length))
}
