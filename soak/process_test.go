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

// Process is one program of the cell. It is started again after each end, as the platform does.
type Process struct {
	name     string
	program  string
	settings string
	log      *os.File
	// found takes what is wrong with how the process ended.
	found func(string)

	mu      sync.Mutex
	cmd     *exec.Cmd
	ordered bool // the present process was told to end
	closed  bool
	wg      sync.WaitGroup
}

// restartPause is how long a process that has ended stays down.
const restartPause = 300 * time.Millisecond

// start runs the program until the Process is closed.
func (p *Process) start() {
	p.wg.Go(func() {
		// The process ends with this thread, and so with the soak however that ends. Without it the processes
		// of a soak that is killed would live on and keep its addresses.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for p.once() {
			time.Sleep(restartPause)
		}
	})
}

// once runs the program to its end and reports whether it should be started again.
func (p *Process) once() bool {
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
		p.found(fmt.Sprintf("%s does not start: %v", p.name, err))
		return false
	}
	p.cmd, p.ordered = cmd, false
	p.mu.Unlock()
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ordered {
		p.found(fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	return !p.closed
}

// signal sends a signal to the process that this Process has started, if it runs.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.ordered = true
	}
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// close ends the process for good.
func (p *Process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wg.Wait()
	_ = p.log.Close()
}
