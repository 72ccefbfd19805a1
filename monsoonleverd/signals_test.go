package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"monsoonlever/platform/soak"
)

// runMainEnv is the environment variable that makes this test binary run main instead of tests.
const runMainEnv = "MONSOONLEVERD_TEST_AS_PROGRAM"

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
	}

	os.Exit(m.Run())
}

// program returns the command that runs this test binary as monsoonleverd.
func program(t *testing.T) soak.Program {
	t.Helper()

	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}

	return soak.Program{Path: path, Env: []string{runMainEnv + "=1"}}
}

// operatorSignals are the signals that operators and their tools send.
var operatorSignals = []syscall.Signal{
	syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGALRM, syscall.SIGWINCH,
	syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT,
}

func isStopSignal(s syscall.Signal) bool {
	return s == syscall.SIGTERM || s == syscall.SIGINT || s == syscall.SIGQUIT
}

// A process that receives SIGHUP after SIGTERM must not cut its streams: if no handler is
// registered for the signal during shutdown, its default action kills the process. No signal that
// operators send, once or twice and in any phase of the process, may cut a request or terminate
// the process other than by a graceful stop.
func TestSignalsCutNoRequest(t *testing.T) {
	for _, s := range operatorSignals {
		for phase, send := range map[string]func(*testing.T, syscall.Signal){
			"during start": signalDuringStart, "while running": signalWhileRunning,
			"while stopping": signalWhileStopping, "during exit": signalDuringExit,
		} {
			t.Run(fmt.Sprint(s, " ", phase), func(t *testing.T) {
				t.Parallel()
				send(t, s)
			})
		}
	}
}

func TestStopWaitsForLogSetup(t *testing.T) {
	ctx, _, ready := handleSignals()

	t.Cleanup(func() { signal.Reset() })

	if err := syscall.Kill(os.Getpid(), syscall.SIGQUIT); err != nil {
		t.Fatal(err)
	}

	select {
	case <-ctx.Done():
		t.Fatal("stop before the log is ready: got one, want none")
	case <-time.After(100 * time.Millisecond):
	}

	ready()

	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
		t.Error("stop once the log is ready: got none, want one")
	}
}

// If the reader of standard output terminates, log lines are lost, but no request is cut.
func TestClosedStandardOutputCutsNoRequest(t *testing.T) {
	t.Parallel()

	p := soak.NewPlatform()
	defer p.Close()

	e := start(t, p)
	got := beginStream(t, p, e)

	if err := e.log.Close(); err != nil {
		t.Fatal(err)
	}

	e.signal(t, syscall.SIGHUP)
	e.signal(t, syscall.SIGTERM)
	e.expectWholeStream(t, got)
	e.expectCleanExit(t)
}

func signalDuringStart(t *testing.T, s syscall.Signal) {
	t.Helper()

	p := soak.NewPlatform()
	defer p.Close()

	// The process reads its settings from a named pipe and blocks until they are written.
	fifo := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}

	e := launch(t, p, fifo)

	pipe, err := os.OpenFile(fifo, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}

	settings := p.Settings("entry-1", e.addresses)
	settingsFile := fifo + ".new"

	if err := os.WriteFile(settingsFile, settings, 0o600); err != nil {
		t.Fatal(err)
	}

	if err := os.Rename(settingsFile, fifo); err != nil {
		t.Fatal(err)
	}

	e.signal(t, s)
	e.signal(t, s)

	if _, err := pipe.Write(settings); err != nil {
		t.Fatal(err)
	}

	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}

	if !isStopSignal(s) {
		e.awaitReady(t, p)
		e.signal(t, syscall.SIGTERM)
	}

	e.expectCleanExit(t)
}

func signalWhileRunning(t *testing.T, s syscall.Signal) {
	t.Helper()

	p := soak.NewPlatform()
	defer p.Close()

	e := start(t, p)
	got := beginStream(t, p, e)

	e.signal(t, s)
	e.signal(t, s)
	e.expectWholeStream(t, got)

	if !isStopSignal(s) {
		e.expectWholeStream(t, beginStream(t, p, e))
		e.signal(t, syscall.SIGTERM)
	}

	e.expectCleanExit(t)
}

func signalWhileStopping(t *testing.T, s syscall.Signal) {
	t.Helper()

	p := soak.NewPlatform()
	defer p.Close()

	e := start(t, p)
	got := beginStream(t, p, e)

	e.signal(t, syscall.SIGTERM)
	e.awaitLog(t, "instance stops")
	e.signal(t, s)
	e.signal(t, s)
	e.expectWholeStream(t, got)
	e.expectCleanExit(t)
}

func signalDuringExit(t *testing.T, s syscall.Signal) {
	t.Helper()

	p := soak.NewPlatform()
	defer p.Close()

	e := start(t, p)

	e.signal(t, syscall.SIGTERM)
	e.awaitLog(t, "instance stopped")

	for e.command.Process.Signal(s) == nil && !e.hasExited() {
	}

	e.expectCleanExit(t)
}

// process is an instance in a separate process.
type process struct {
	addresses soak.Addresses
	command   *exec.Cmd
	log       *os.File
	done      chan error

	mu     sync.Mutex
	output bytes.Buffer
	exited bool
}

// start runs an instance and waits until it is ready.
func start(t *testing.T, p *soak.Platform) *process {
	t.Helper()

	e := launch(t, p, filepath.Join(t.TempDir(), "settings.jsonc"))
	e.awaitReady(t, p)

	return e
}

// launch starts the process. It writes the settings file if there is none.
func launch(t *testing.T, p *soak.Platform, settings string) *process {
	t.Helper()

	return launchProgram(t, p, program(t), settings, func(text []byte) []byte { return text })
}

// launchProgram is launch of a program with changed settings.
func launchProgram(t *testing.T, p *soak.Platform, run soak.Program, settings string, change func([]byte) []byte) *process {
	t.Helper()

	e := &process{addresses: soak.FreeAddresses(), done: make(chan error, 1)}

	if _, err := os.Stat(settings); err != nil {
		if err := os.WriteFile(settings, change(p.Settings("entry-1", e.addresses)), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}

	e.log = reader
	e.command = run.Command(context.Background(), settings)
	e.command.Stdout, e.command.Stderr = writer, writer

	if err := e.command.Start(); err != nil {
		t.Fatal(err)
	}

	_ = writer.Close()

	go e.collectOutput()

	go func() {
		err := e.command.Wait()

		e.mu.Lock()
		e.exited = true
		e.mu.Unlock()
		e.done <- err
	}()

	t.Cleanup(func() {
		_ = e.command.Process.Kill()
		_ = reader.Close()

		if t.Failed() {
			e.mu.Lock()
			defer e.mu.Unlock()
			t.Log(e.output.String())
		}
	})

	return e
}

func (e *process) collectOutput() {
	buffer := make([]byte, 4096)

	for {
		n, err := e.log.Read(buffer)

		e.mu.Lock()
		e.output.Write(buffer[:n])
		e.mu.Unlock()

		if err != nil {
			return
		}
	}
}

func (e *process) hasExited() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.exited
}

func (e *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()

	if err := e.command.Process.Signal(s); err != nil && !e.hasExited() {
		t.Fatalf("send signal %v: got %v, want no error", s, err)
	}
}

// awaitLog waits until the log contains a text.
func (e *process) awaitLog(t *testing.T, text string) {
	t.Helper()
	e.awaitCondition(t, text, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()

		return strings.Contains(e.output.String(), text)
	})
}

func (e *process) awaitReady(t *testing.T, p *soak.Platform) {
	t.Helper()
	e.awaitCondition(t, "ready", func() bool { return p.Ready(t.Context(), e.addresses) })
}

func (e *process) awaitCondition(t *testing.T, what string, met func() bool) {
	t.Helper()

	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()

	for limit := time.After(eventTimeout); !met(); {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("%s: not observed within %v", what, eventTimeout)
		}
	}
}

// beginStream starts a stream and returns after its first event. The channel delivers its result.
func beginStream(t *testing.T, p *soak.Platform, e *process) <-chan error {
	t.Helper()

	ended, err := p.BeginStream(t.Context(), e.addresses)
	if err != nil {
		t.Fatalf("begin stream: got %v, want no error", err)
	}

	return ended
}

func (e *process) expectWholeStream(t *testing.T, ended <-chan error) {
	t.Helper()

	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("stream: got %v, want it complete", err)
		}
	case <-time.After(eventTimeout):
		t.Errorf("stream: got no end within %v, want one", eventTimeout)
	}
}

func (e *process) expectCleanExit(t *testing.T) {
	t.Helper()

	select {
	case err := <-e.done:
		if err != nil {
			t.Errorf("process exit: got %v, want exit code 0", err)
		}
	case <-time.After(eventTimeout):
		t.Errorf("process exit: got none within %v, want one", eventTimeout)
	}
}

// Instances receive overlapping series of signals while callers keep their connections open until
// a process exits.
func TestSignalSoakFindsNoBreach(t *testing.T) {
	t.Parallel()

	s := &soak.Soak{Program: program(t), Dir: t.TempDir(), Seed: 1, Instances: 3, Callers: 4, Duration: 10 * time.Second}

	report, err := s.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	if report.Completed == 0 || report.Signals == 0 {
		t.Errorf("got %d completed requests and %d signals, want some", report.Completed, report.Signals)
	}

	for _, breach := range report.Breaches {
		t.Error(breach)
	}
}

// Paths of instances to the backend servers are cut again and again while callers send
// requests to all instances.
func TestCutSoakFindsNoBreach(t *testing.T) {
	t.Parallel()

	s := &soak.Soak{
		Program: program(t), Dir: t.TempDir(), Seed: 1, Instances: 4, Callers: 3, Duration: 15 * time.Second, Cuts: true, NoSignals: true,
	}

	report, err := s.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	if report.Completed == 0 || report.Cuts == 0 {
		t.Errorf("got %d completed requests and %d cuts, want some", report.Completed, report.Cuts)
	}

	for _, breach := range report.Breaches {
		t.Error(breach)
	}
}

// Backend servers fail, and crash under some requests, while instances are killed, all at once or some.
func TestOutageSoakFindsNoBreach(t *testing.T) {
	t.Parallel()

	s := &soak.Soak{
		Program: program(t), Dir: t.TempDir(), Seed: 1, Instances: 4, Duration: 15 * time.Second,
		Outages: true, PerSecond: 60, HarmfulPerSecond: 2,
	}

	report, err := s.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	if report.Completed == 0 || report.Kills == 0 || report.Crashes == 0 || report.Repeats == 0 {
		t.Errorf("got %d completed requests, %d kills, %d crashes and %d repeats, want some of each",
			report.Completed, report.Kills, report.Crashes, report.Repeats)
	}

	for _, breach := range report.Breaches {
		t.Error(breach)
	}
}
