package controlplane

import "time"

// testStart is the time at which tests begin.
var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
