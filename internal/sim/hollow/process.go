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

// process is a child process. It is safe for concurrent use; commands are sent one at a time.
type process struct {
	role    string
	hosts   []string
	lock    sync.Mutex
	program *exec.Cmd
	input   io.WriteCloser
	replies *bufio.Reader
}

// spawn starts this program as a child process and sends it the plan.
func spawn(plan Plan, role, directory string, hosts []string) (*process, error) {
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
	childProcess.replies = bufio.NewReader(output)
	if err := childProcess.program.Start(); err != nil {
		return nil, errors.Wrap(err, "start child process")
	}
	_, err = childProcess.call(command{Do: commandPlan, Plan: &plan, Role: role, Directory: directory})
	return childProcess, err
}

// call sends a command and waits for the reply. An error in the reply is returned as an error.
func (p *process) call(sent command) (reply, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	var response reply
	if err := json.NewEncoder(p.input).Encode(sent); err != nil {
		return response, errors.Wrapf(err, "%s process", p.role)
	}
	line, err := p.replies.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &response)
	}
	if err == nil && response.Error != "" {
		err = errors.New(response.Error)
	}
	return response, errors.Wrapf(err, "%s process, %s", p.role, sent.Do)
}

// shutdownTimeout is how long a child may take to exit before it is killed.
const shutdownTimeout = 5 * time.Second

// end closes the input of the child, which makes it exit, and waits for its exit.
func (p *process) end() error {
	_ = p.input.Close()
	killTimer := time.AfterFunc(shutdownTimeout, func() { _ = p.program.Process.Kill() })
	defer killTimer.Stop()
	return errors.Wrapf(p.program.Wait(), "%s process", p.role)
}
