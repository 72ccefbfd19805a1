package scheduling

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// Requests go only to allowed versions; those of a trial share go to the same fraction of the new
// version's servers.
func TestRequestsUseAllowedVersions(t *testing.T) {
	const perVersion = 40

	now := time.Unix(1000, 0)
	s := &Scheduler{}

	var servers []register.Server

	for i := range perVersion {
		for _, version := range []fleet.Version{"v1", "v2"} {
			id := fleet.InstanceID(fmt.Sprint(version, "-", i))
			servers = append(servers, register.Server{ID: id, Service: "llm", Slots: 8, Version: version})
		}
	}

	s.Update(servers)

	for name, tt := range map[string]struct {
		request Request
		want    fleet.Version
		most    int
	}{
		"avoids the new version":             {request: Request{AvoidVersions: []fleet.Version{"v2"}}, want: "v1", most: perVersion},
		"a tenth to the new version":         {request: Request{OnlyVersion: "v2", VersionFraction: 0.1}, want: "v2", most: perVersion / 10},
		"a tiny fraction to the new version": {request: Request{OnlyVersion: "v2", VersionFraction: 0.001}, want: "v2", most: 1},
		"all to the new version":             {request: Request{OnlyVersion: "v2", VersionFraction: 1}, want: "v2", most: perVersion},
	} {
		tt.request.Service = "llm"
		used := make(map[fleet.InstanceID]bool)

		for range 500 {
			a, err := s.Pick(now, tt.request)
			if err != nil {
				t.Fatalf("%s: got %v, want a server", name, err)
			}

			if a.Version() != tt.want {
				t.Fatalf("%s: got %s, want a server of %s", name, a.ID(), tt.want)
			}

			used[a.ID()] = true
		}

		if len(used) > tt.most {
			t.Errorf("%s: got %d servers used, want at most %d", name, len(used), tt.most)
		}
	}

	if _, err := s.Pick(now, Request{Service: "llm", OnlyVersion: "v3"}); err == nil {
		t.Error("a version that no server runs: got a server, want none")
	}
}
