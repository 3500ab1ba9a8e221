package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Process is a program that can be restarted with the same settings.
type Process struct {
	Name    string
	binary  string
	args    []string
	folder  string
	logFile string
	// Faults serializes the faults that a test injects into the process.
	Faults sync.Mutex

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started int
}

// Start starts the program. Its output is appended to the log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	c := exec.Command(p.binary, p.args...)
	c.Dir, c.Stdout, c.Stderr = p.folder, f, f
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.cmd, p.ended = c, make(chan struct{})
	p.started++
	go func(ended chan struct{}) {
		_ = c.Wait() // the exit status depends on the injected fault
		close(ended)
	}(p.ended)
	return nil
}

// Started returns how often the program was started.
func (p *Process) Started() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// Signal sends s to the running program.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// Stop sends s and waits until the program has ended. A paused program is resumed, so
// that it can act on s.
func (p *Process) Stop(s syscall.Signal) {
	p.Signal(s)
	p.Signal(syscall.SIGCONT)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}
