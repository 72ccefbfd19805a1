package main

import (
	"fmt"
	"testing"
)

// Guards against connections without a request that hold every descriptor.
func TestAbuseBySilentConnections(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, hold: true, run: func(*abuser) {}})
}

// Guards against connections kept after a request that hold every descriptor.
func TestAbuseByIdleConnections(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), "Content-Length: 0\r\n\r\n"))
	}})
}

// Guards against answers that are not read.
func TestAbuseByUnreadAnswers(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, run: func(a *abuser) {
		for n := 0; a.send(head(fmt.Sprint("a-", a.number, "-", n), "Content-Length: 0\r\n\r\n")); n++ {
		}
	}})
}
