package main

import (
	"fmt"
	"testing"
)

func TestAbuseBySilentConnections(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, hold: true, run: func(*abuser) {}})
}

func TestAbuseByIdleConnections(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), "Content-Length: 0\r\n\r\n"))
	}})
}

func TestAbuseByUnreadAnswers(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, run: func(a *abuser) {
		for n := 0; a.send(head(fmt.Sprint("a-", a.number, "-", n), "Content-Length: 0\r\n\r\n")); n++ {
		}
	}})
}
