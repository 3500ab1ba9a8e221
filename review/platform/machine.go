package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Bounds and limits of the deployments on the users' pages, which the cases judge by.
const (
	heartbeatInterval = 870 * time.Millisecond
	drainBound        = 2 * time.Second
	stabilityWindow   = 3 * time.Second
	restartDelay      = 500 * time.Millisecond
)

// machine is one machine with one process of the system.
type machine struct {
	name    string
	ip      string
	role    role
	fields  map[string]any
	folder  string
	root    string
	rec     *record
	command *exec.Cmd
	started time.Time
	exited  chan struct{}
	log     *os.File
	// members replaces the seeds in the settings of a control, if it is set.
	members []member
}

// member is a control as another one reaches it.
type member struct{ Name, Address string }

// role is one role of the deploy file.
type role struct{ name, class, run, template string }

func (m *machine) port(name string) string { return m.fields["Listen"].(map[string]any)[name].(string) }

// start starts the process with the command of the deploy file. first states that the
// whole system starts for the first time.
func (m *machine) start(first bool) error {
	m.fields["Bootstrap"] = first
	t, err := os.ReadFile(filepath.Join(m.root, m.role.template))
	if err != nil {
		return err
	}
	s, err := fillTemplate(string(t), m.fields)
	if err != nil {
		return fmt.Errorf("%s: %w", m.role.template, err)
	}
	if m.members != nil {
		if s, err = withMembers(s, m.members); err != nil {
			return err
		}
	}
	file := filepath.Join(m.folder, "settings")
	if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
		return err
	}
	m.log, err = os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(m.role.run)
	c := exec.Command(filepath.Join(m.root, words[0]), words[1:]...)
	c.Dir = m.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "GOOSEBERRYPICK_BOOT=" + file}
	c.Stdout, c.Stderr = m.log, m.log
	if err := c.Start(); err != nil {
		return err
	}
	m.command, m.started, m.exited = c, time.Now(), make(chan struct{})
	m.rec.printf("%s: process started (%s)", m.name, m.role.run)
	go func(done chan struct{}, log *os.File) {
		_ = c.Wait() // the state of the process tells how it ended
		log.Close()
		close(done)
	}(m.exited, m.log)
	return nil
}

var seedSettings = regexp.MustCompile(`(?m)^  "(Seeds|Losses|FirstStart)": .*\n`)

// withMembers replaces the seeds in the settings of a control by fixed members, so that
// the controls can be made to reach each other through proxies.
func withMembers(settings string, l []member) (string, error) {
	b, err := json.Marshal(l)
	if err != nil {
		return "", err
	}
	s := seedSettings.ReplaceAllString(settings, "")
	return strings.Replace(s, "{", "{\n  \"Members\": "+string(b)+",", 1), nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) error {
	m.rec.printf("%s: %s", m.name, s)
	return m.command.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (m *machine) kill() error {
	if err := m.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-m.exited
	return nil
}

// running reports whether the process has not ended.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// end ends the process if it still runs.
func (m *machine) end() {
	if m.command == nil || !m.running() {
		return
	}
	_ = m.command.Process.Signal(syscall.SIGCONT) // it may be stopped
	if err := m.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		m.rec.printf("%s: not killed: %v", m.name, err)
		return
	}
	<-m.exited
}
