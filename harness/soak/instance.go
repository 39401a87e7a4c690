package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/platform"
	"corianderwood.example/corianderwood/platform/storetest"
)

// Instance is one node process with its local server. mu guards the fields below it.
type Instance struct {
	name, ip string
	service  string
	domain   string // failure domain
	dir      string
	binary   string
	server   *Server
	checker  *Checker

	mu      sync.Mutex
	process *exec.Cmd
	started time.Time
	// stopping reports that the process was sent a signal that ends it.
	stopping bool
	paused   bool
	// disturbedAt is when the process was last killed, paused or resumed.
	disturbedAt time.Time
	log         *os.File
}

func (i *Instance) address(port int) string { return net.JoinHostPort(i.ip, fmt.Sprint(port)) }

// writeSettings writes the settings file of the node; store is the address of the
// metadata store.
func (i *Instance) writeSettings(store string) error {
	settings := strings.NewReplacer(`zone = "a"`, fmt.Sprintf("zone = %q", i.domain), `"drain=2000ms"`, settingsBounds()).
		Replace(storetest.Settings(i.name, i.ip, i.service, store))
	return os.WriteFile(i.settingsPath(), []byte(settings), 0o600)
}

func (i *Instance) logPath() string { return filepath.Join(i.dir, i.name+".log") }

func (i *Instance) settingsPath() string { return filepath.Join(i.dir, i.name+".toml") }

// Start starts the process unless it is running already.
func (i *Instance) Start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		return nil
	}
	if i.log == nil {
		log, err := os.Create(i.logPath())
		if err != nil {
			return err
		}
		i.log = log
	}
	cmd := exec.Command(i.binary, "sidecar")
	cmd.Env = append(os.Environ(), platform.SettingsFileVariable+"="+i.settingsPath())
	cmd.Stdout, cmd.Stderr = i.log, i.log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.process, i.started, i.stopping, i.paused = cmd, time.Now(), false, false
	go i.wait(cmd)
	return nil
}

func (i *Instance) wait(cmd *exec.Cmd) {
	err := cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.stopping {
		i.checker.Violationf("%s exited without being signalled: %v", i.name, err)
	}
	i.process = nil
}

// Signal sends a signal to the process if it is running.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT {
		i.disturbedAt = time.Now()
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		i.stopping = true
	case syscall.SIGSTOP:
		i.paused = true
	case syscall.SIGCONT:
		i.paused = false
	}
	_ = i.process.Process.Signal(s) // the process may just have ended
}

// RunningSince returns when the process was started. ok reports whether it is running,
// not paused, and was not sent a signal that ends it.
func (i *Instance) RunningSince() (since time.Time, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.started, i.process != nil && !i.paused && !i.stopping
}

// Undisturbed reports whether the process is not paused and was neither killed, paused nor
// resumed within the given time. A graceful stop (SIGTERM) does not disturb it, because it
// must not cut off requests.
func (i *Instance) Undisturbed(within time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.paused && time.Since(i.disturbedAt) > within
}

// Ready reports whether the node's readiness endpoint returns 200.
func (i *Instance) Ready() bool {
	res, err := (&http.Client{Timeout: 500 * time.Millisecond}).Get("http://" + i.address(storetest.ReadyPort) + storetest.ReadyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// pid returns the id of the process; ok is false if no process exists.
func (i *Instance) pid() (int, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return 0, false
	}
	return i.process.Process.Pid, true
}
