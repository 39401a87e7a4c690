package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/platform"
	"corianderwood.example/corianderwood/platform/storetest"
)

// Instance is one node process with the server beside it. mu guards the process.
type Instance struct {
	name, ip string
	service  string
	dir      string
	binary   string
	server   *Server
	checker  *Checker

	mu      sync.Mutex
	process *exec.Cmd
	started time.Time
	// planned tells that the end of the process is wanted.
	planned bool
	paused  bool
	// disturbed is when it was last killed, paused or resumed.
	disturbed time.Time
	log       *os.File
}

func (i *Instance) at(port int) string { return net.JoinHostPort(i.ip, fmt.Sprint(port)) }

// writeSettings writes the settings file.
func (i *Instance) writeSettings(store string) error {
	return os.WriteFile(i.settings(), []byte(storetest.Settings(i.name, i.ip, i.service, store)), 0o600)
}

func (i *Instance) settings() string { return filepath.Join(i.dir, i.name+".toml") }

// Start starts the process unless it runs.
func (i *Instance) Start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		return nil
	}
	if i.log == nil {
		log, err := os.Create(filepath.Join(i.dir, i.name+".log"))
		if err != nil {
			return err
		}
		i.log = log
	}
	cmd := exec.Command(i.binary, "sidecar")
	cmd.Env = append(os.Environ(), platform.SettingsFileVariable+"="+i.settings())
	cmd.Stdout, cmd.Stderr = i.log, i.log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.process, i.started, i.planned, i.paused = cmd, time.Now(), false, false
	go i.wait(cmd)
	return nil
}

func (i *Instance) wait(cmd *exec.Cmd) {
	err := cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.planned {
		i.checker.Broken("%s ended by itself: %v", i.name, err)
	}
	i.process = nil
}

// Signal sends a signal to the process if it runs.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT {
		i.disturbed = time.Now()
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		i.planned = true
	case syscall.SIGSTOP:
		i.paused = true
	case syscall.SIGCONT:
		i.paused = false
	}
	_ = i.process.Process.Signal(s) // the process may just have ended
}

// Running reports whether the process runs, and since when.
func (i *Instance) Running() (since time.Time, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.started, i.process != nil && !i.paused && !i.planned
}

// Calm reports whether the process was neither killed nor paused for a while.
func (i *Instance) Calm(since time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.paused && time.Since(i.disturbed) > since
}

// Ready asks the node whether clients may send requests.
func (i *Instance) Ready() bool {
	res, err := (&http.Client{Timeout: 500 * time.Millisecond}).Get("http://" + i.at(storetest.ReadyPort) + storetest.ReadyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// running reports whether the process has not ended yet.
func (i *Instance) running() (int, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return 0, false
	}
	return i.process.Process.Pid, true
}
