package main

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// process is one of the programs on an address of its own. Its fields from command on belong to lock.
type process struct {
	name, program, settings, log string
	// address is where it serves operators or clients, ready where it answers readiness checks.
	address, ready string

	// faultLock is held while a fault is carried out, to its restart: on a busy machine that may take longer than the schedule allows for.
	faultLock sync.Mutex

	lock    sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// closed is set at the end of the run: the program is not started any more.
	closed bool
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.closed {
		return errClosed
	}
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(p.program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FERRYSPAR_SETTINGS=" + p.settings}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.command, p.ended = command, ended
	return nil
}

// restart starts the program again, with settings that say that the system does not start for the first time.
func (p *process) restart() error {
	if err := p.rewriteSettings(); err != nil {
		return err
	}
	return p.start()
}

// rewriteSettings writes settings that say that the system does not start for the first time.
func (p *process) rewriteSettings() error {
	content, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	later := bytes.Replace(content, []byte("bootstrap = true"), []byte("bootstrap = false"), 1)
	return os.WriteFile(p.settings, later, 0o600)
}

// pid returns the id of the process.
func (p *process) pid() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.command.Process.Pid
}

// signal sends a signal to the process and returns a channel that is closed at its end.
func (p *process) signal(signal syscall.Signal) <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	_ = p.command.Process.Signal(signal)
	return p.ended
}
