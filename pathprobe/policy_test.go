package pathprobe

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

// network is a model of the paths of one instance to the servers of some services.
type network struct {
	now    time.Time
	paths  map[fleet.Service][]scheduling.Path
	cut    func(fleet.InstanceID) bool
	policy Policy
	dials  int
	// pending are the dials that have not ended, over several runs.
	pending []dialResult
}

// dialResult is the result of dials to servers of a service, and when it is known.
type dialResult struct {
	at      time.Time
	service fleet.Service
	targets []scheduling.Path
}

// dialTime is how long a dial takes that nothing responds to.
const dialTime = 400 * time.Millisecond

func newNetwork(servers int) *network {
	const services = 2

	n := &network{now: time.Unix(1000, 0), paths: make(map[fleet.Service][]scheduling.Path), cut: func(fleet.InstanceID) bool { return false }}

	for s := range services {
		service := fleet.Service(fmt.Sprint("service-", s))
		for i := range servers {
			n.paths[service] = append(n.paths[service], scheduling.Path{ID: fleet.InstanceID(fmt.Sprint(service, "-", i))})
		}
	}

	return n
}

// run plays a time in which no request is sent.
func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(tickInterval) {
		var rest []dialResult

		for _, r := range n.pending {
			if r.at.After(n.now) {
				rest = append(rest, r)

				continue
			}

			failed := 0

			for _, target := range r.targets {
				if n.cut(target.ID) {
					failed++
				}

				n.set(r.service, target.ID, n.cut(target.ID))
			}

			n.policy.Done(n.now, r.service, r.targets, failed, n.paths)
		}

		n.pending = rest

		for service, targets := range n.policy.Next(n.now, n.paths) {
			n.dials += len(targets)
			n.pending = append(n.pending, dialResult{at: n.now.Add(dialTime), service: service, targets: targets})
		}
	}
}

func (n *network) set(service fleet.Service, id fleet.InstanceID, lost bool) {
	for i := range n.paths[service] {
		if n.paths[service][i].ID == id {
			n.paths[service][i].Lost = lost
		}
	}
}

func (n *network) lost() int {
	lost := 0

	for _, paths := range n.paths {
		for _, path := range paths {
			if path.Lost {
				lost++
			}
		}
	}

	return lost
}

// fail has one request find that the path to a server is lost.
func (n *network) fail() {
	const service = "service-0"

	n.paths[service][0].Lost = true
	n.policy.Suspect(service)
}

// Guards against a service that is seldom called and whose lost paths nobody finds: one failed
// request has all services checked.
func TestAllLostPathsAreFoundAfterOneFailure(t *testing.T) {
	n := newNetwork(9)
	n.cut = func(fleet.InstanceID) bool { return true }
	n.fail()
	n.run(3 * time.Second)

	if got, want := n.lost(), 18; got != want {
		t.Errorf("lost paths after 3 s: got %d, want %d", got, want)
	}
}

// Guards against dials to all servers when a single one is lost, as after a crash.
func TestOneLostServerCausesFewDials(t *testing.T) {
	const maxDials = checkWidth + 8

	n := newNetwork(200)
	n.cut = func(id fleet.InstanceID) bool { return id == "service-0-0" }
	n.fail()
	n.run(5 * time.Second)

	if n.dials > maxDials {
		t.Errorf("dials in 5 s: got %d, want at most %d", n.dials, maxDials)
	}
}

// Guards against a rush of dials while all paths are lost: one a second for each service, once
// they are known.
func TestLostPathsAreRetriedSeldom(t *testing.T) {
	const (
		duration = 20 * time.Second
		services = 2
		// A few retries at short intervals come before those a second apart.
		maxDials = services * (20 + 5)
	)

	n := newNetwork(9)
	n.cut = func(fleet.InstanceID) bool { return true }
	n.fail()
	n.run(5 * time.Second)

	n.dials = 0
	n.run(duration)

	if n.dials > maxDials {
		t.Errorf("dials in %v: got %d, want at most %d", duration, n.dials, maxDials)
	}
}

// Guards against paths that stay unused after a partition has ended.
func TestReturnedPathsAreFound(t *testing.T) {
	n := newNetwork(9)
	n.cut = func(fleet.InstanceID) bool { return true }
	n.fail()
	n.run(10 * time.Second)

	n.cut = func(fleet.InstanceID) bool { return false }
	n.run(5 * time.Second)

	if got, want := n.lost(), 0; got != want {
		t.Errorf("lost paths 5 s after the end: got %d, want %d", got, want)
	}

	if got, want := n.policy.Idle(), true; got != want {
		t.Errorf("idle: got %v, want %v", got, want)
	}
}

// Guards against services that are not checked because requests, and no dial, found the last path
// of another service lost.
func TestOtherServicesAreCheckedWhenRequestsFindTheLoss(t *testing.T) {
	n := newNetwork(1)
	n.cut = func(fleet.InstanceID) bool { return true }
	n.fail()
	n.run(3 * time.Second)

	if got, want := n.lost(), 2; got != want {
		t.Errorf("lost paths after 3 s: got %d, want %d", got, want)
	}
}
