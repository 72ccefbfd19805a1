package main

import (
	"strings"
	"testing"

	"monsoonlever/platform/soak"
)

// Guards against large headers and idle connections at the port of readiness checks.
func TestAbuseOfReadinessPort(t *testing.T) {
	for name, size := range map[string]int{"few fields": 16, "most of a megabyte": 900 << 10} {
		t.Run(name, func(t *testing.T) {
			fields := shortFields(size)

			withstand(t, crowd{
				clients: crowdAboveDescriptors, hold: true, address: func(a soak.Addresses) string { return a.Readiness },
				run: func(a *abuser) { a.send("GET /readyz HTTP/1.1\r\nHost: a\r\n" + fields) },
			})
		})
	}
}

// Guards against large headers and idle connections at the port of metrics.
func TestAbuseOfOperatorsPort(t *testing.T) {
	for name, size := range map[string]int{"few fields": 16, "most of a megabyte": 900 << 10} {
		t.Run(name, func(t *testing.T) {
			fields := shortFields(size)

			withstand(t, crowd{
				clients: crowdAboveDescriptors, hold: true, address: func(a soak.Addresses) string { return a.Operators },
				run: func(a *abuser) { a.send("GET /metrics HTTP/1.1\r\nHost: a\r\n" + fields) },
			})
		})
	}
}

// Guards against metrics that are requested and not read.
func TestAbuseByUnreadMetrics(t *testing.T) {
	withstand(t, crowd{
		clients: crowdAboveDescriptors, address: func(a soak.Addresses) string { return a.Operators },
		run: func(a *abuser) { a.sendEndlessly("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n") },
	})
}

// Guards against clients that hold connections at the port of other instances.
func TestAbuseOfPeersPort(t *testing.T) {
	for name, text := range map[string]string{"silence": "", "large frame": "\x00\x80\x00\x00", "no frame": strings.Repeat("\xff", 1<<10), "detour": "DTR2\x00\x80\x00\x00x"} {
		t.Run(name, func(t *testing.T) {
			withstand(t, crowd{
				clients: crowdAboveDescriptors, hold: true, address: func(a soak.Addresses) string { return a.Peers },
				run: func(a *abuser) { a.send(text) },
			})
		})
	}
}
