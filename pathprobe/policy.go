package pathprobe

import (
	"math/rand/v2"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

const (
	// checkWidth is how many servers of a suspected service are dialled at a time.
	checkWidth = 3
	// heardRecently is the time within which a server from which something was received is not
	// checked.
	heardRecently = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time between two retries of lost paths of a
	// service. The longest one is well below the time for which a lost path is remembered.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// maxRetryWidth bounds how many lost paths of a service are retried at a time.
	maxRetryWidth = 8
)

// Policy decides which servers are dialled. The zero value is ready to use.
type Policy struct {
	services map[fleet.Service]*serviceState
}

// serviceState is what the policy knows of one service.
type serviceState struct {
	// suspected is set while servers have to be checked.
	suspected bool
	// checked holds the servers that were dialled since the service was first suspected.
	checked map[fleet.InstanceID]bool
	// dialling is set while servers of the service are being dialled.
	dialling bool
	// lost is set while the service has lost paths.
	lost bool
	// wholly is set while the service has no other.
	wholly  bool
	retryAt time.Time
	delay   time.Duration
	width   int
}

// Suspect has a service checked.
func (p *Policy) Suspect(service fleet.Service) {
	s := p.state(service)
	if !s.suspected {
		s.suspected, s.checked = true, make(map[fleet.InstanceID]bool)
	}
}

func (p *Policy) state(service fleet.Service) *serviceState {
	if p.services == nil {
		p.services = make(map[fleet.Service]*serviceState)
	}

	if p.services[service] == nil {
		p.services[service] = &serviceState{width: 1, delay: minRetryDelay}
	}

	return p.services[service]
}

// Idle reports whether nothing is to be dialled until the next call of Suspect.
func (p *Policy) Idle() bool {
	for _, s := range p.services {
		if s.suspected || s.lost || s.dialling {
			return false
		}
	}

	return true
}

// Next returns the servers to dial now, by service. Done has to be called for each service.
func (p *Policy) Next(now time.Time, paths map[fleet.Service][]scheduling.Path) map[fleet.Service][]scheduling.Path {
	next := make(map[fleet.Service][]scheduling.Path)

	for service, s := range p.services {
		known, exists := paths[service]
		if !exists && !s.dialling {
			delete(p.services, service)

			continue
		}

		p.update(now, service, paths)

		if s.dialling {
			continue
		}

		if targets := s.targets(now, known); len(targets) > 0 {
			s.dialling = true
			next[service] = targets
		}
	}

	return next
}

// update takes over which paths of a service are lost. Once all are, the other services are checked.
func (p *Policy) update(now time.Time, service fleet.Service, paths map[fleet.Service][]scheduling.Path) {
	s := p.services[service]
	known := paths[service]
	lost, before := 0, s.wholly

	for _, path := range known {
		if path.Lost {
			lost++
		}
	}

	if lost > 0 && !s.lost {
		s.width, s.delay = 1, minRetryDelay
		s.retryAt = now.Add(s.jittered())
	}

	s.lost, s.wholly = lost > 0, lost > 0 && lost == len(known)

	if !s.wholly || before {
		return
	}

	for other := range paths {
		if other != service {
			p.Suspect(other)
		}
	}
}

// targets returns the servers of the service to dial now.
func (s *serviceState) targets(now time.Time, paths []scheduling.Path) []scheduling.Path {
	if s.suspected {
		targets := choose(paths, checkWidth, func(path scheduling.Path) bool {
			return !path.Lost && !s.checked[path.ID] && now.Sub(path.HeardAt) > heardRecently
		})
		if len(targets) > 0 {
			for _, target := range targets {
				s.checked[target.ID] = true
			}

			return targets
		}

		s.suspected = false
	}

	if !s.lost || now.Before(s.retryAt) {
		return nil
	}

	return choose(paths, s.width, func(path scheduling.Path) bool { return path.Lost })
}

// choose returns up to n random paths that match.
func choose(paths []scheduling.Path, n int, matches func(scheduling.Path) bool) []scheduling.Path {
	var chosen []scheduling.Path

	for _, i := range rand.Perm(len(paths)) {
		if len(chosen) < n && matches(paths[i]) {
			chosen = append(chosen, paths[i])
		}
	}

	return chosen
}

// Done records that servers of a service were dialled, some of which failed.
func (p *Policy) Done(now time.Time, service fleet.Service, targets []scheduling.Path, failed int, paths map[fleet.Service][]scheduling.Path) {
	s := p.services[service]
	if s == nil {
		return
	}

	s.dialling = false
	p.update(now, service, paths)

	if !targets[0].Lost {
		// A check without a failure ends the suspicion.
		s.suspected = s.suspected && failed > 0

		return
	}

	if failed < len(targets) {
		s.width, s.delay = min(2*s.width, maxRetryWidth), minRetryDelay
	} else {
		s.width, s.delay = 1, min(2*s.delay, maxRetryDelay)
	}

	s.retryAt = now.Add(s.jittered())
}

// jittered returns the delay until the next retry, so that instances that lost their paths at the
// same moment do not retry at the same moment.
func (s *serviceState) jittered() time.Duration {
	return s.delay*3/4 + rand.N(s.delay/2)
}
