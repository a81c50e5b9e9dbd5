package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// slowPeers is the number of peers in a zone that send a long body and do not finish it: the largest count of the sites.
	slowPeers = 100
	// roundTime is how long the peers of one round stay, rounds how many there are.
	roundTime = 6500 * time.Millisecond
	rounds    = 3
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay  = 500 * time.Millisecond
	memoryEvents  = 60
	megabyte      = 1 << 20
	bodyChunk     = 64 << 10
	peerPause     = 50 * time.Millisecond
	brokenEnds    = 3
	brokenDaemons = 2
)

// overLimit counts how often the platform has killed each data plane for its memory.
type overLimit struct {
	lock  sync.Mutex
	ends  map[string]int
	peaks map[string]float64
}

// playMemory lets peers in each zone send bodies within maxBodyBytes slowly. The platform kills a process that exceeds memoryMb, and
// starts it again.
func playMemory(f *fleet, trouble bool) (verdict, error) {
	if err := f.start(memoryEvents); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	seen := &overLimit{ends: map[string]int{}, peaks: map[string]float64{}}
	var watchers sync.WaitGroup
	for _, p := range f.dataPlanes {
		watchers.Go(func() { f.enforceMemory(p, seen, stop) })
	}
	cut := 0
	for round := range rounds {
		cut += f.playRound(round, trouble)
	}
	close(stop)
	watchers.Wait()
	return f.judgeMemory(seen, cut)
}

// playRound plays ordinary streams, beside slow peers if there is to be trouble, and returns how many streams were cut.
func (f *fleet) playRound(round int, trouble bool) int {
	end := time.Now().Add(roundTime)
	var peers sync.WaitGroup
	for zone := range dataCount {
		for number := range slowPeers {
			id := fmt.Sprintf("slow%d-%d-%d", round, zone, number)
			size := maxBodyBytes
			if !trouble {
				size = len("prompt")
			}
			peers.Go(func() { sendSlowly(f.data[zone], id, size, trouble, end) })
		}
	}
	f.log.write("round %d: %d peers in each zone", round+1, slowPeers)
	cuts := make(chan int, dataCount)
	for zone := range dataCount {
		go func() { cuts <- f.askUntil(zone, round, end) }()
	}
	cut := 0
	for range dataCount {
		cut += <-cuts
	}
	peers.Wait()
	time.Sleep(4 * time.Second)
	return cut
}

// askUntil sends one stream after the other and returns how many were cut in the middle of their answer.
func (f *fleet) askUntil(zone, round int, end time.Time) int {
	cut := 0
	for number := 0; time.Now().Before(end); number++ {
		id := fmt.Sprintf("client%d-%d-%d", round, zone, number)
		answer := ask(f.data[zone], id)
		f.log.write("client sent %s, got %d, whole %v", id, answer.status, answer.whole)
		if answer.status == 200 && !answer.whole {
			cut++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return cut
}

// sendSlowly sends a request with a body of that size. The last byte is held back until the end if hold is set.
func sendSlowly(address, id string, size int, hold bool, end time.Time) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer connection.Close()
	_ = connection.SetDeadline(end)
	fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n", requestHead(id), size)
	chunk := []byte(strings.Repeat("x", bodyChunk))
	for left := size - 1; left > 0; left -= min(left, bodyChunk) {
		if _, err := connection.Write(chunk[:min(left, bodyChunk)]); err != nil {
			return
		}
		time.Sleep(peerPause)
	}
	if hold {
		time.Sleep(time.Until(end))
		return
	}
	_, _ = connection.Write(chunk[:1])
	_, _ = connection.Read(chunk)
}

// enforceMemory is the platform's limit: it kills the process once its memory exceeds memoryMb, and starts it again.
func (f *fleet) enforceMemory(p *process, seen *overLimit, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentMb(p.pid())
		seen.lock.Lock()
		seen.peaks[p.name] = max(seen.peaks[p.name], used)
		seen.lock.Unlock()
		if used <= memoryMb {
			continue
		}
		seen.lock.Lock()
		seen.ends[p.name]++
		seen.lock.Unlock()
		f.log.write("%s uses %.0f MB, more than memoryMb = %d: killed by the platform", p.name, used, memoryMb)
		p.kill()
		time.Sleep(restartDelay)
		if err := f.restart(p); err != nil {
			f.log.write("%s does not start: %v", p.name, err)
			return
		}
	}
}

// residentMb returns the resident memory of a process in MB, or 0 if it has ended.
func residentMb(pid int) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseFloat(fields[1], 64)
			return kilobytes * 1024 / megabyte
		}
	}
	return 0
}

// judgeMemory applies the rule of faults: processes of two machines end three times each with no trouble there.
func (f *fleet) judgeMemory(seen *overLimit, cut int) (verdict, error) {
	var result verdict
	daemons := 0
	for _, p := range f.dataPlanes {
		f.log.write("%s: at most %.0f MB, ended %d times", p.name, seen.peaks[p.name], seen.ends[p.name])
		if seen.ends[p.name] >= brokenEnds {
			daemons++
		}
	}
	f.log.write("streams of ordinary clients that were cut: %d", cut)
	if daemons >= brokenDaemons {
		result.broken = daemons
	}
	return result, nil
}
