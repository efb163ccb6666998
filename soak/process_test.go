package soak

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Process runs a program of the cell and restarts it whenever it ends, as the platform does.
type Process struct {
	name     string
	program  string
	settings string
	log      *os.File
	// onFinding receives a violation if the program does not start or ends unexpectedly.
	onFinding func(string)

	mu         sync.Mutex
	cmd        *exec.Cmd
	expectExit bool // the current process was told to end
	closed     bool
	wg         sync.WaitGroup
}

// restartDelay is the delay before a process that has ended is restarted.
const restartDelay = 300 * time.Millisecond

// start runs the program until the Process is closed.
func (p *Process) start() {
	p.wg.Go(func() {
		// Pdeathsig kills the process when this thread ends, and so when the test ends in any way. Otherwise the
		// processes of a killed test would keep running and occupy its addresses.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for p.runOnce() {
			time.Sleep(restartDelay)
		}
	})
}

// runOnce runs the program until it ends and reports whether it should be restarted.
func (p *Process) runOnce() bool {
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), "TURMERICGAP_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return false
	}
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		p.onFinding(fmt.Sprintf("%s does not start: %v", p.name, err))
		return false
	}
	p.cmd, p.expectExit = cmd, false
	p.mu.Unlock()
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expectExit {
		p.onFinding(fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	return !p.closed
}

// signal sends a signal to the current process, if there is one.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expectExit = true
	}
	_ = p.cmd.Process.Signal(s) // fails if the process has ended
}

// close kills the process and does not restart it.
func (p *Process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wg.Wait()
	_ = p.log.Close()
}
