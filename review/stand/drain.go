package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// drainEvents is the length of a stream in events: the longest on the sheet is 200.
	drainEvents = 180
	// drainClients is the number of clients that begin a request connectAfter the SIGTERM and end it sendAfter it.
	drainClients = 8
	connectAfter = 500 * time.Millisecond
	sendAfter    = 4500 * time.Millisecond
	// readinessInterval is how often the platform asks, and maxMisses how many misses in a row take a data plane out.
	readinessInterval = time.Second
	maxMisses         = 2
	// graceS is that of the settings. The platform kills a process that still runs then.
	graceS = 8 * time.Second
	// beforeStop is how long ordinary streams run before the SIGTERM.
	beforeStop = 3 * time.Second
)

// playDrain stops one data plane with SIGTERM while clients that are slow to send begin requests there: the platform still gives them
// connections. A request that the data plane passes on has to be answered.
func playDrain(f *fleet, trouble bool) (verdict, error) {
	if err := f.start(drainEvents); err != nil {
		return verdict{}, err
	}
	var ordinary sync.WaitGroup
	for number := range drainClients {
		ordinary.Go(func() {
			id := fmt.Sprintf("before%02d", number)
			answer := ask(f.data[number%dataCount], id)
			f.log.write("client sent %s, got %d, whole %v", id, answer.status, answer.whole)
		})
	}
	time.Sleep(beforeStop)
	stopped := time.Now()
	if trouble {
		f.stop(f.dataPlanes[0])
	}
	out := f.watchReadiness(f.ready[0], stopped)
	answers := make([]outcome, drainClients)
	var late sync.WaitGroup
	for number := range drainClients {
		late.Go(func() { answers[number] = f.askLate(lateID(number), stopped, out) })
	}
	late.Wait()
	ordinary.Wait()
	return f.judgeDrain(answers), nil
}

func lateID(number int) string { return fmt.Sprintf("late%02d", number) }

// stop sends SIGTERM, and SIGKILL after graceS as the platform does.
func (f *fleet) stop(p *process) {
	p.lock.Lock()
	command, ended := p.command, p.ended
	p.lock.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM)
	f.log.write("SIGTERM to %s", p.name)
	go func() {
		select {
		case <-ended:
			f.log.write("%s has ended", p.name)
		case <-time.After(graceS):
			f.log.write("%s still runs after graceS: SIGKILL", p.name)
			p.kill()
		}
	}()
}

// watchReadiness asks as the platform does. The channel is closed once the data plane gets no further connections.
func (f *fleet) watchReadiness(address string, since time.Time) <-chan struct{} {
	out := make(chan struct{})
	go func() {
		for misses := 0; misses < maxMisses && time.Since(since) < graceS; time.Sleep(readinessInterval) {
			misses++
			if isReady(address) {
				misses = 0
			}
		}
		f.log.write("the platform sends no more connections to %s", address)
		close(out)
	}()
	return out
}

// askLate opens a connection, if the platform still gives one, and sends a request on it slowly.
func (f *fleet) askLate(id string, since time.Time, out <-chan struct{}) outcome {
	time.Sleep(time.Until(since.Add(connectAfter)))
	select {
	case <-out:
		f.log.write("client of %s is sent elsewhere", id)
		return outcome{}
	default:
	}
	connection, err := net.DialTimeout("tcp", f.data[0], time.Second)
	if err != nil {
		f.log.write("client of %s has no connection: %v", id, err)
		return outcome{}
	}
	defer connection.Close()
	f.log.write("client of %s has opened its connection", id)
	_ = connection.SetDeadline(time.Now().Add(18 * time.Second))
	err = sendBySteps(connection, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", requestHead(id), len(slowBody)), since)
	f.log.write("client sent %s, %.1f s after the SIGTERM, error %v", id, time.Since(since).Seconds(), err)
	answer := readAnswer(bufio.NewReader(connection))
	f.log.write("client of %s got %d, whole %v, %.1f s after the SIGTERM", id, answer.status, answer.whole, time.Since(since).Seconds())
	return answer
}

// slowBody is sent one byte at a time, the last one sendAfter the SIGTERM.
const slowBody = "a prompt of a slow client"

// sendBySteps sends a head at once and then the body.
func sendBySteps(connection net.Conn, head string, since time.Time) error {
	if _, err := connection.Write([]byte(head)); err != nil {
		return err
	}
	step := time.Until(since.Add(sendAfter)) / time.Duration(len(slowBody))
	for position := range slowBody {
		time.Sleep(step)
		if _, err := connection.Write([]byte{slowBody[position]}); err != nil {
			return err
		}
	}
	return nil
}

// judgeDrain counts the requests that ran at a replica and whose connection ended without a whole answer.
func (f *fleet) judgeDrain(answers []outcome) verdict {
	ran := map[string]bool{}
	for _, run := range f.runs.list() {
		ran[run.id] = strings.HasPrefix(run.id, "late")
	}
	var result verdict
	for number, answer := range answers {
		if id := lateID(number); ran[id] && !answer.whole {
			result.broken++
			f.log.write("LOST: %s was passed on to a replica and not answered whole", id)
		}
	}
	return result
}
