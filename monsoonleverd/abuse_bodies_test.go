package main

import (
	"fmt"
	"strings"
	"testing"
)

func TestAbuseByEndlessChunks(t *testing.T) {
	for name, text := range map[string]string{
		"extension": "1;" + strings.Repeat("x", 16<<10), "trailer": "0\r\n" + strings.Repeat("a: b\r\n", 1<<12), "chunks of a byte": strings.Repeat("1\r\nx\r\n", 1<<12),
	} {
		t.Run(name, func(t *testing.T) {
			withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
				a.send(head(fmt.Sprint("a-", a.number), "Transfer-Encoding: chunked\r\n\r\n"))
				a.sendEndlessly(text)
			}})
		})
	}
}

func TestAbuseByUnfinishedBodies(t *testing.T) {
	withstand(t, crowd{clients: crowdBelowDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), "Content-Length: 100000\r\n\r\n"+strings.Repeat("x", 99_999)))
	}})
}

func TestAbuseByBodiesThatDrip(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), "Content-Length: 1000\r\n\r\n"))
		a.drip()
	}})
}

func TestAbuseByExpectedContinue(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n"))
	}})
}
