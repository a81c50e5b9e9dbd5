package hollow

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// process is a child process; any goroutine may call it, one command at a time is sent.
type process struct {
	role    string
	hosts   []string
	lock    sync.Mutex
	program *exec.Cmd
	input   io.WriteCloser
	answers *bufio.Reader
}

// spawn starts this program again as a child and gives it the plan.
func spawn(plan Plan, role, folder string, hosts []string) (*process, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	childProcess := &process{role: role, hosts: hosts, program: exec.Command(path)}
	childProcess.program.Env = append(os.Environ(), ChildEnvVar+"=1")
	childProcess.program.Stderr = os.Stderr
	if childProcess.input, err = childProcess.program.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := childProcess.program.StdoutPipe()
	if err != nil {
		return nil, err
	}
	childProcess.answers = bufio.NewReader(output)
	if err := childProcess.program.Start(); err != nil {
		return nil, errors.Wrap(err, "process for hollow nodes")
	}
	_, err = childProcess.call(command{Do: commandPlan, Plan: &plan, Role: role, Folder: folder})
	return childProcess, err
}

// call sends a command and waits for its reply; a reply with an error is an error.
func (p *process) call(sent command) (reply, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	var answer reply
	if err := json.NewEncoder(p.input).Encode(sent); err != nil {
		return answer, errors.Wrapf(err, "%s process", p.role)
	}
	line, err := p.answers.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &answer)
	}
	if err == nil && answer.Error != "" {
		err = errors.New(answer.Error)
	}
	return answer, errors.Wrapf(err, "%s process, %s", p.role, sent.Do)
}

// shutdownTimeout is how long a child may take to end before it is killed.
const shutdownTimeout = 5 * time.Second

// end closes the child's input, on which it ends, and waits for it.
func (p *process) end() error {
	_ = p.input.Close()
	overdue := time.AfterFunc(shutdownTimeout, func() { _ = p.program.Process.Kill() })
	defer overdue.Stop()
	return errors.Wrapf(p.program.Wait(), "%s process", p.role)
}
