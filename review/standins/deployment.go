//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonlever/platform/standin"
)

const (
	host   = "clients.example"
	apiKey = "key-1"
	// program is what deploy/system.toml builds and runs.
	program = "target/monsoonleverd"
	// memoryMb is the memory of a machine. The platform kills a process that exceeds it.
	memoryMb = 284
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay   = 300 * time.Millisecond
	startTimeout   = 20 * time.Second
	memoryInterval = 20 * time.Millisecond
)

type object = map[string]any

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(directory string) (*record, error) {
	file, err := os.Create(filepath.Join(directory, "record.txt"))

	return &record{file: file, began: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }

// deployment is a small deployment on loopback addresses.
type deployment struct {
	record  *record
	trouble bool
	store   *standin.Store
	cloud   *standin.Cloud
	folder  string
	// instances are the entry instances, in three failure domains.
	instances []*instance
	runners   []*exec.Cmd
	// running ends when the case ends, and kills the processes of the instances.
	running context.Context
	end     context.CancelFunc
	group   sync.WaitGroup
}

// instance is one entry instance, which the platform starts again when its process has ended.
type instance struct {
	name     string
	callers  string
	ready    string
	settings string
}

func (d *deployment) start(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}

	d.folder = folder
	d.running, d.end = context.WithCancel(context.Background())
	d.store, d.cloud = standin.NewStore(), standin.NewCloud()
	d.store.PutRules(rules())

	for _, domain := range []string{"ballerup-a", "ballerup-b", "taastrup-1"} {
		i, err := d.newInstance(domain)
		if err != nil {
			return err
		}

		d.instances = append(d.instances, i)
		d.group.Go(func() { d.runInstance(i) })
	}

	return ctx.Err()
}

// awaitReady waits until all instances are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)

	for _, i := range d.instances {
		for !i.isReady(ctx) {
			if time.Now().After(deadline) {
				return errors.New(i.name + " is not ready")
			}

			time.Sleep(50 * time.Millisecond)
		}
	}

	d.record.printf("all instances are ready")

	return nil
}

func (i *instance) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/readyz", nil)
	if err != nil {
		return false
	}

	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}

	_ = response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// newInstance writes the settings of an instance as deploy/settings.jsonc has them, with the bounds of
// a small deployment.
func (d *deployment) newInstance(domain string) (*instance, error) {
	free := standin.FreeAddresses(4)
	i := &instance{
		name: "edge-" + domain + "-1", callers: free[0], ready: free[1], settings: filepath.Join(d.folder, domain+".jsonc"),
	}

	text, err := json.Marshal(object{
		"instance": i.name, "failureDomain": domain, "region": "dk-east",
		"listen": object{"callers": free[0], "readiness": free[1], "peers": free[2], "operators": free[3]},
		"store":  d.store.Address(), "storeKeeps": "300s", "cloud": d.cloud.Address(), "duties": []string{"usage"},
		"limits": object{"memoryMegabytes": memoryMb, "processorCores": 0.4, "fileDescriptors": 4100},
		"bounds": object{
			"revocation": "5000ms", "drain": "2000ms", "stop": "8s", "retryShare": 0.2, "retryWindow": "10s", "retryExtra": 52,
			"limitWindow": "8s", "limitOvershoot": 0.1, "limitSlack": 140000, "lease": "3000ms", "usageWindow": "5s", "usageLate": "10s",
		},
	})
	if err != nil {
		return nil, err
	}

	return i, os.WriteFile(i.settings, text, 0o600)
}

// runInstance runs the processes of an instance one after the other until the case ends.
func (d *deployment) runInstance(i *instance) {
	for d.running.Err() == nil {
		log, err := os.OpenFile(i.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			d.record.printf("%s has no log: %v", i.name, err)

			return
		}

		command := exec.CommandContext(d.running, program, "entry", "--settings", i.settings)
		command.Stdout, command.Stderr = log, log

		if err := command.Start(); err != nil {
			d.record.printf("%s does not start: %v", i.name, err)
			_ = log.Close()

			return
		}

		d.record.printf("%s starts as process %d", i.name, command.Process.Pid)

		done := make(chan struct{})
		go d.watchMemory(i, command.Process, done)

		err = command.Wait()
		close(done)

		_ = log.Close()

		if d.running.Err() == nil {
			d.record.printf("%s has ended: %v", i.name, err)
			time.Sleep(restartDelay)
		}
	}
}

// watchMemory kills a process that exceeds the memory of its machine, as the platform does.
func (d *deployment) watchMemory(i *instance, process *os.Process, done <-chan struct{}) {
	largest := 0

	for {
		select {
		case <-done:
			d.record.printf("%s had %d MB at most", i.name, largest)

			return
		case <-time.After(memoryInterval):
		}

		megabytes := residentMegabytes(process.Pid)
		largest = max(largest, megabytes)

		if megabytes > memoryMb {
			d.record.printf("%s has %d MB, more than the %d MB of its machine: the platform kills process %d",
				i.name, megabytes, memoryMb, process.Pid)
			_ = process.Kill()

			<-done

			return
		}
	}
}

// residentMegabytes returns the resident memory of a process, or 0.
func residentMegabytes(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}

	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])

			return kilobytes >> 10
		}
	}

	return 0
}

// stop ends all processes and stand-ins.
func (d *deployment) stop() {
	if d.running == nil {
		return
	}

	d.end()

	for _, r := range d.runners {
		_ = r.Process.Kill()
		_ = r.Wait()
	}

	d.group.Wait()
	d.store.Close()
	d.cloud.Close()

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// register writes the entry of a backend server. Further fields replace those of a ready server.
func (d *deployment) register(id, service, domain, address string, further object) {
	entry := object{
		"service": service, "address": address, "zone": domain, "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1,
	}
	for name, value := range further {
		entry[name] = value
	}

	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // all values are strings, numbers and booleans
	}

	d.store.RegisterBytes(id, data)
}

const (
	pathStream = "/recon/"
	pathNotice = "/notice/"
	pathOnce   = "/submit/"
)

// rules returns a configuration with two resumable streams and a request that runs once at most, as the
// kinds batch-recon, notice-draft and bankfile-submit of SYSTEM.md.
func rules() object {
	return object{
		"version": 1,
		"routes": []object{
			{
				"name": "batch-recon", "host": host, "pathPrefix": pathStream, "kind": "streaming", "resumable": true, "sticky": true,
				"timeoutMs": 15000, "latencyGoalMs": 1200, "gapTargetMs": 300, "service": "ledger-llm", "maxAttempts": 2,
			},
			{
				"name": "notice-draft", "host": host, "pathPrefix": pathNotice, "kind": "streaming", "resumable": true, "sticky": true,
				"timeoutMs": 3000, "latencyGoalMs": 1500, "gapTargetMs": 300, "service": "ledger-llm", "maxAttempts": 2, "priority": 2,
			},
			{
				"name": "bankfile-submit", "host": host, "pathPrefix": pathOnce, "kind": "unsafe",
				"timeoutMs": 1500, "latencyGoalMs": 100, "service": "payrun-api", "maxAttempts": 1, "priority": 2,
			},
		},
		"services": []object{{"name": "ledger-llm", "maxConnections": 360}, {"name": "payrun-api", "maxConnections": 96}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
		"tenants":  []object{{"name": "wholesale-1", "apiKeys": []string{apiKey}}},
	}
}
