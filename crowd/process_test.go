package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// process is a running program of the system.
type process struct {
	cmd *exec.Cmd
	log string
	// ended is closed when the process has ended.
	ended chan struct{}
	// peakFiles is the largest number of open descriptors seen.
	peakFiles atomic.Int64
}

// sampleInterval is the time between two looks at the open descriptors of a process.
const sampleInterval = 20 * time.Millisecond

var (
	buildsMu sync.Mutex
	builds   = make(map[string]string)
)

// TestMain removes the built programs.
func TestMain(m *testing.M) {
	code := m.Run()
	for _, path := range builds {
		_ = os.Remove(path)
	}
	os.Exit(code)
}

// build builds a program of cmd/ once and returns its path.
func build(t *testing.T, name string) string {
	t.Helper()
	buildsMu.Lock()
	defer buildsMu.Unlock()
	if path, ok := builds[name]; ok {
		return path
	}
	path := filepath.Join(os.TempDir(), fmt.Sprintf("crowd-%d-%s", os.Getpid(), name))
	if out, err := exec.Command("go", "build", "-o", path, "turmericgap/cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	builds[name] = path
	return path
}

// start runs a program that may open maxFiles files. It is killed when the test ends.
func start(t *testing.T, maxFiles uint64, program string, args, env []string) *process {
	t.Helper()
	p := &process{log: filepath.Join(t.TempDir(), "log"), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	go func() {
		// The kernel sends Pdeathsig when the thread that started the process ends.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			_ = p.cmd.Wait() // the exit status is irrelevant: no process may end
		}
		close(p.ended)
	}()
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		log.Close()
	})
	limit := unix.Rlimit{Cur: maxFiles, Max: maxFiles}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	go func() {
		for p.alive() {
			p.openFiles()
			time.Sleep(sampleInterval)
		}
	}()
	return p
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return n << 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

// openFiles returns the number of open descriptors of the process, or zero once it has ended.
func (p *process) openFiles() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for seen := p.peakFiles.Load(); int64(len(entries)) > seen; seen = p.peakFiles.Load() {
		p.peakFiles.CompareAndSwap(seen, int64(len(entries)))
	}
	return len(entries)
}

// tail returns the last lines of the log.
func (p *process) tail() string {
	raw, _ := os.ReadFile(p.log) // an empty log is reported as such
	lines := bytes.Split(raw, []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-15):], []byte("\n")))
}
