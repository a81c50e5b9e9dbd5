package watch

import "time"

func (r *Register) Areas(now time.Time) map[string]string {
	areas := map[string]string{}
	for name, beat := range r.beats {
		if now.Sub(beat.At) <= r.Life || now.Sub(beat.Heard) <= r.Life {
			areas[name] = beat.Area
		}
	}
	return areas
}
