//go:build review

// Command case7 is the platform, the runners and the clients of case 7. It starts nine entry instances and then four
// more, and moves a route. Where TROUBLE isn't 0, the store turns up to four away meanwhile that relay for others. It
// does so several times, each with a deployment of its own, until the rule is broken.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"monsoonlever/platform/standin"
)

const (
	host       = "ficu95.example"
	path       = "/cufi504/"
	key        = "i9n73hh2b9wu3fexd9dn"
	oldService = "counter-app"
	newService = "counter-app-2"
	heartbeat  = 1200 * time.Millisecond
	// applyTime is configApplyMs, and slack covers the time from the store's acknowledgement until it is noted here.
	applyTime = 2000 * time.Millisecond
	slack     = 50 * time.Millisecond
	// settle is the time from the start of the first instances until more come, turnedAfter that from then until the store
	// turns some away, if there is one to choose within chosenWithin, turnedFor how long, and movedAfter the time from
	// then until the route is moved.
	settle       = 6 * time.Second
	turnedAfter  = 1500 * time.Millisecond
	chosenWithin = 2 * time.Second
	turnedFor    = 9 * time.Second
	movedAfter   = 5 * time.Second
	watched      = 8 * time.Second
	// lastRound is the time after which no other round begins.
	lastRound = 75 * time.Second
	pause     = 100 * time.Millisecond
)

// Metrics of an instance that choose reads.
const (
	leads       = "monsoonlever_entry_leads"
	relay       = "monsoonlever_entry_relay"
	subscribers = "monsoonlever_entry_subscribers"
)

type object = map[string]any

// zones are the failure domains with the number of instances at first; one more comes in each.
var zones = []struct {
	name string
	n    int
}{{"bole", 3}, {"piassa", 2}, {"kazanchis", 2}, {"megenagna", 2}}

// maxTurnedAway is the share of 0.33 of 13 instances.
const maxTurnedAway = 4

type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

type instance struct {
	name      string
	addresses []string
	store     *standin.Endpoint
	link      *link
	process   *exec.Cmd
}

type platform struct {
	*record

	program, folder string
	store           *standin.Store
	cloud           *standin.Cloud
	mu              sync.Mutex
	instances       []*instance
	// turnedAway are the instances that the store turns away.
	turnedAway []string
}

func rules(version int, service string) object {
	return object{
		"version": version,
		"routes": []object{{
			"name": "dispatch-check", "host": host, "pathPrefix": path, "kind": "safe", "timeoutMs": 800, "latencyGoalMs": 100, "priority": 2,
			"maxAttempts": 2, "service": service,
		}},
		"services": []object{{"name": oldService, "maxConnections": 110, "healthPath": "/healthz"}, {"name": newService, "maxConnections": 110, "healthPath": "/healthz"}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": "hule930", "apiKeys": []string{key}}},
	}
}

func (p *platform) start(zone string, n int) error {
	i := &instance{name: fmt.Sprintf("edge-%s-%d", zone, n), addresses: standin.FreeAddresses(5), store: p.store.NewEndpoint()}

	var err error
	if i.link, err = newLink(i.addresses[4], i.store.Address()); err != nil {
		return err
	}

	data, err := json.Marshal(object{
		"instance": i.name, "failureDomain": zone, "region": "addis",
		"listen": object{"callers": i.addresses[0], "readiness": i.addresses[1], "peers": i.addresses[2], "operators": i.addresses[3]},
		"store":  i.link.address(), "storeKeeps": "300s", "cloud": p.cloud.Address(), "duties": []string{"usage", "scaling"},
		"limits": object{"memoryMegabytes": 284, "processorCores": 0.4, "fileDescriptors": 4100},
		"bounds": object{
			"revocation": "5000ms", "drain": "2000ms", "stop": "8s", "retryShare": 0.2, "retryWindow": "10s", "retryExtra": 58,
			"limitWindow": "8s", "limitOvershoot": 0.1, "limitSlack": 140000, "lease": "3000ms", "usageWindow": "5s", "usageLate": "10s",
		},
	})
	if err != nil {
		return err
	}

	file := filepath.Join(p.folder, i.name+".jsonc")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}

	output, err := os.Create(filepath.Join(p.folder, i.name+".log"))
	if err != nil {
		return err
	}

	i.process = exec.Command(p.program, "entry", "--settings", file)
	i.process.Stdout, i.process.Stderr = output, output
	endWithParent(i.process)

	if err := i.process.Start(); err != nil {
		return err
	}

	p.add("%s is started", i.name)
	p.mu.Lock()
	p.instances = append(p.instances, i)
	p.mu.Unlock()

	return nil
}

func (p *platform) all() []*instance {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Clone(p.instances)
}

// awaitReady waits until all instances say that they are ready.
func (p *platform) awaitReady() error {
	limit := time.Now().Add(20 * time.Second)

	for _, i := range p.all() {
		for {
			response, err := http.Get("http://" + i.addresses[1] + "/readyz")
			if err == nil {
				_ = response.Body.Close()

				if response.StatusCode == http.StatusOK {
					break
				}
			}

			if time.Now().After(limit) {
				return errors.New(i.name + " isn't ready")
			}

			time.Sleep(100 * time.Millisecond)
		}
	}

	return nil
}

// ask sends a request and returns the status and the body, which names the service that ran it.
func ask(address, id string) (int, string, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()

	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))

	request, err := http.NewRequest(http.MethodGet, "http://"+host+path+"2f", nil)
	if err != nil {
		return 0, "", err
	}

	request.Header = http.Header{"Request-Id": {id}, "Deadline-Ms": {"1500"}, "Authorization": {"Bearer " + key}, "Connection": {"close"}}
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{
		DisableKeepAlives: true, Dial: func(string, string) (net.Conn, error) { return conn, nil },
	}}

	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)

	return response.StatusCode, strings.TrimSpace(string(body)), err
}

// endWithParent lets a process end with this one, also where this one is killed.
func endWithParent(c *exec.Cmd) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

var errNobodyChosen = errors.New("no instance turned to one that doesn't lead")

// Results of a run, as exit codes.
const (
	held = iota
	broken
	notRun
)

func main() {
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// runCase plays rounds, each with a deployment of its own, until one breaks the rule or the time is up.
func runCase(program, folder, recordFile string, trouble bool) int {
	file, err := os.Create(recordFile)
	if err != nil {
		return notRun
	}
	defer file.Close()

	r := &record{file: file, began: time.Now()}
	result := notRun

	for round := 1; result != broken && time.Since(r.began) < lastRound; round++ {
		r.add("round %d", round)

		switch got, err := playRound(r, program, folder, trouble); {
		case errors.Is(err, errNobodyChosen):
			r.add("round %d: %v", round, err)
		case err != nil:
			r.add("not run: %v", err)

			return notRun
		default:
			r.add("round %d: %d (0 the rule held, 1 it was broken)", round, got)
			result = got
		}
	}

	r.add("result: %d (0 the rule held, 1 it was broken, 2 no round was played)", result)

	return result
}

func playRound(r *record, program, folder string, trouble bool) (int, error) {
	p := &platform{record: r, program: program, folder: folder, store: standin.NewStore(), cloud: standin.NewCloud()}
	defer func() {
		for _, i := range p.all() {
			_ = i.process.Process.Kill()
			_ = i.process.Wait()
		}
	}()

	return p.play(trouble)
}

func (p *platform) startRunners() {
	var servers []*standin.Server

	for _, service := range []string{oldService, newService} {
		for n := range 2 {
			s := standin.NewServer(fmt.Sprintf("i-%s-%d", service, n+1), service)
			s.FailureDomain = zones[n].name
			s.SetDefault(standin.Respond(http.StatusOK, service))
			p.store.Register(s, "ready")
			servers = append(servers, s)
		}
	}

	go func() {
		for {
			time.Sleep(heartbeat)

			for _, s := range servers {
				p.store.Register(s, "ready")
			}
		}
	}()
}

func (p *platform) play(trouble bool) (int, error) {
	p.store.PutRules(rules(3, oldService))
	p.startRunners()

	for _, zone := range zones {
		for n := range zone.n {
			if err := p.start(zone.name, n+1); err != nil {
				return notRun, err
			}
		}
	}

	if err := p.awaitReady(); err != nil {
		return notRun, err
	}

	p.add("the first instances are ready")
	time.Sleep(settle)

	added := time.Now()

	for _, zone := range zones {
		if err := p.start(zone.name, zone.n+1); err != nil {
			return notRun, err
		}
	}

	if err := p.awaitReady(); err != nil {
		return notRun, err
	}

	p.add("all instances are ready")

	time.Sleep(time.Until(added.Add(turnedAfter)))

	chosen, err := p.choose()
	if err != nil {
		return notRun, err
	}

	if trouble {
		p.turnedAway = chosen
		p.turn(true)
		time.AfterFunc(turnedFor, func() { p.turn(false) })
	}

	time.Sleep(movedAfter)

	_, states, err := p.relays()
	if err != nil {
		return notRun, err
	}

	p.add("%s", states)
	p.store.PutRules(rules(4, newService))

	moved := time.Now()
	p.add("version 4 of the configuration moves the route to %s, and is acknowledged", newService)

	return p.watch(moved), nil
}

// gauges returns the values of the metrics of an instance that have one of these names.
func (i *instance) gauges(names ...string) (map[string]string, error) {
	response, err := http.Get("http://" + i.addresses[3] + "/metrics")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	gauges := make(map[string]string)

	for line := range strings.SplitSeq(string(text), "\n") {
		if name, value, ok := strings.Cut(line, " "); ok && slices.Contains(names, name) {
			gauges[name] = value
		}
	}

	return gauges, err
}

// relays returns the instances that others turn to and that don't lead, and what all instances say of themselves.
func (p *platform) relays() (names []string, states string, err error) {
	for _, i := range p.all() {
		gauges, err := i.gauges(leads, relay, subscribers)
		if err != nil {
			return nil, "", err
		}

		states += fmt.Sprintf(" %s %s/%s/%s", i.name, gauges[leads], gauges[relay], gauges[subscribers])

		if gauges[leads] == "0" && gauges[subscribers] != "0" {
			names = append(names, i.name)
		}
	}

	return names, "leads/relay/subscribers:" + states, nil
}

// choose chooses whom the store turns away: instances that others turn to and that don't lead, as far as their metrics
// tell. It waits until there is one.
func (p *platform) choose() ([]string, error) {
	limit := time.Now().Add(chosenWithin)

	for {
		names, states, err := p.relays()
		if err != nil {
			return nil, err
		}

		last := time.Now().After(limit)
		if len(names) > 0 || last {
			p.add("%s", states)
		}

		if len(names) > 0 {
			return names[:min(len(names), maxTurnedAway)], nil
		}

		if last {
			return nil, errNobodyChosen
		}

		time.Sleep(pause)
	}
}

// turn sets whether the store turns instances away.
func (p *platform) turn(away bool) {
	for _, i := range p.all() {
		if slices.Contains(p.turnedAway, i.name) {
			i.store.SetUnavailable(away)

			if away {
				i.link.closeOpen()
			}
		}
	}

	p.add("the store turns %s away: %t", strings.Join(p.turnedAway, ", "), away)
}

// watch sends requests to all instances, and judges those that the store serves.
func (p *platform) watch(moved time.Time) int {
	var (
		group  sync.WaitGroup
		mu     sync.Mutex
		result = held
	)

	for _, i := range p.all() {
		judged := !slices.Contains(p.turnedAway, i.name)

		group.Go(func() {
			late, ran, refused := 0, 0, 0

			for n := 0; time.Since(moved) < watched; n++ {
				sent := time.Now()
				id := fmt.Sprintf("%s-%04d", i.name, n)

				status, body, err := ask(i.addresses[0], id)
				if status == http.StatusOK {
					ran++
				} else {
					refused++
				}

				if status == http.StatusOK && body == oldService && sent.Sub(moved) > applyTime+slack {
					late++
					p.add("%s, sent to %s %.3f s after the acknowledgement, was run by %s; judged %t", id, i.name, sent.Sub(moved).Seconds(), body, judged)
				} else if err != nil && n%10 == 0 {
					p.add("%s: %v", id, err)
				}

				time.Sleep(pause)
			}

			p.add("%s: %d answered, %d not, %d run by the old service later than %v; judged %t", i.name, ran, refused, late, applyTime, judged)

			if judged && late > 0 {
				mu.Lock()
				defer mu.Unlock()

				result = broken
			}
		})
	}

	group.Wait()

	return result
}
