package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"
)

// usageInterval is the time between two samples of the processes' usage.
const usageInterval = time.Second

// processUsage is what processes of one kind use: the most that any of them used at once, and the most at the last sample.
type processUsage struct {
	PeakMb          float64 `json:"peakMb"`
	LastMb          float64 `json:"lastMb"`
	PeakDescriptors int     `json:"peakDescriptors"`
	LastDescriptors int     `json:"lastDescriptors"`
}

// watchUsage samples the memory and the descriptors of all processes until the context ends.
func (f *fleet) watchUsage(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.sampleUsage(edgeKind, f.edges)
			f.sampleUsage(controlKind, f.controls)
		}
	}
}

func (f *fleet) sampleUsage(kind string, nodes []*process) {
	residentMb, descriptors := 0.0, 0
	for _, node := range nodes {
		folder := fmt.Sprintf("/proc/%d/", node.pid())
		residentMb = max(residentMb, residentMemoryMb(folder))
		if open, err := os.ReadDir(folder + "fd"); err == nil {
			descriptors = max(descriptors, len(open))
		}
	}
	f.recorder.record(func(h *history) {
		if h.Usage == nil {
			h.Usage = map[string]processUsage{}
		}
		before := h.Usage[kind]
		h.Usage[kind] = processUsage{
			PeakMb: max(before.PeakMb, residentMb), LastMb: residentMb,
			PeakDescriptors: max(before.PeakDescriptors, descriptors), LastDescriptors: descriptors,
		}
	})
}

// residentMemoryMb returns the resident memory of the process with the folder under /proc, 0 if it is gone.
func residentMemoryMb(folder string) float64 {
	const kbPerMb = 1024
	content, err := os.ReadFile(folder + "status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(content) {
		fields := bytes.Fields(line)
		if len(fields) < 2 || string(fields[0]) != "VmRSS:" {
			continue
		}
		resident, _ := strconv.ParseFloat(string(fields[1]), 64)
		return resident / kbPerMb
	}
	return 0
}

// judgeUsage finds kinds of processes one of which exceeded its limits, for which the platform would have killed it.
func judgeUsage(h *history) (violations []string) {
	for kind, usage := range h.Usage {
		if usage.PeakMb > memoryMb || usage.PeakDescriptors > maxFds {
			violations = append(violations, fmt.Sprintf("a process of kind %s used %.0f MB and %d descriptors", kind, usage.PeakMb,
				usage.PeakDescriptors))
		}
	}
	return violations
}
