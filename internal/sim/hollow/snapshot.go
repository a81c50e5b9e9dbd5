package hollow

import (
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Snapshot holds the resource usage of one process. Counts are cumulative since its start.
type Snapshot struct {
	At    time.Time `json:"at"`
	Nodes int       `json:"daemons"`
	// CPUSeconds is the CPU time used, user and system together.
	CPUSeconds          float64                    `json:"processorS"`
	PeakMb              float64                    `json:"peakMb"`
	HeapMb              float64                    `json:"heapMb"`
	RuntimeMb           float64                    `json:"heldMb"`
	Goroutines          int                        `json:"goroutines"`
	Descriptors         int                        `json:"descriptors"`
	Dialed              int64                      `json:"dialed"`
	Accepted            int64                      `json:"accepted"`
	OutboundConnections int64                      `json:"outside"`
	InboundConnections  int64                      `json:"inside"`
	DiskWrites          int64                      `json:"diskWrites"`
	DiskBytes           int64                      `json:"diskBytes"`
	DiskSyncs           int64                      `json:"diskSyncs"`
	Flows               map[string]map[string]Flow `json:"flows"`
}

// seconds converts a system time to seconds.
func seconds(value unix.Timeval) float64 { return float64(value.Sec) + float64(value.Usec)/1e6 }

const (
	liveHeap       = "/gc/heap/live:bytes"
	totalMemory    = "/memory/classes/total:bytes"
	releasedMemory = "/memory/classes/heap/released:bytes"
	megabyte       = 1 << 20
	kilobyte       = 1 << 10
)

// TakeSnapshot returns the resource usage of this process and the values of the counter.
func TakeSnapshot(counter *Counter) (Snapshot, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return Snapshot{}, errors.Wrap(err, "read CPU usage")
	}
	samples := []metrics.Sample{{Name: liveHeap}, {Name: totalMemory}, {Name: releasedMemory}}
	metrics.Read(samples)
	peak, err := peakMb()
	if err != nil {
		return Snapshot{}, err
	}
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "list open file descriptors")
	}
	return Snapshot{
		At:                  time.Now(),
		CPUSeconds:          seconds(usage.Utime) + seconds(usage.Stime),
		PeakMb:              peak,
		HeapMb:              float64(samples[0].Value.Uint64()) / megabyte,
		RuntimeMb:           float64(samples[1].Value.Uint64()-samples[2].Value.Uint64()) / megabyte,
		Goroutines:          runtime.NumGoroutine(),
		Descriptors:         len(descriptors),
		Dialed:              counter.dialed.Load(),
		Accepted:            counter.accepted.Load(),
		OutboundConnections: counter.outbound.Load(),
		InboundConnections:  counter.inbound.Load(),
		DiskWrites:          counter.writes.Load(),
		DiskBytes:           counter.diskBytes.Load(),
		DiskSyncs:           counter.syncs.Load(),
		Flows:               counter.read(),
	}, nil
}

// peakField is the field of /proc/self/status that holds the peak of the resident memory in kB.
const peakField = "VmHWM:"

// peakMb returns the peak of the resident memory of this process in MB.
func peakMb() (float64, error) {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, errors.Wrap(err, "read peak memory")
	}
	fields := strings.Fields(string(status))
	for position, field := range fields[:max(len(fields)-1, 0)] {
		if field == peakField {
			kb, err := strconv.ParseFloat(fields[position+1], 64)
			return kb / kilobyte, err
		}
	}
	return 0, errors.New("no field VmHWM in /proc/self/status")
}
