package usage

import "time"

// Windows divides wall time into windows of one length, numbered from the start of 1970.
type Windows struct {
	Length time.Duration
}

// At is the number of the window that a moment lies in.
func (w Windows) At(moment time.Time) uint64 {
	return uint64(moment.UnixNano() / int64(w.Length))
}

// End is the first moment after a window.
func (w Windows) End(number uint64) time.Time {
	return time.Unix(0, int64(number+1)*int64(w.Length))
}
