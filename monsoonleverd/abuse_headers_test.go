package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestAbuseByHeadersOfManyFields(t *testing.T) {
	fields := shortFields(abuseHeaderBytes)

	withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
		go a.discard()

		for a.send(head(fmt.Sprint("a-", a.number), fields+"Content-Length: 0\r\n\r\n")) {
		}
	}})
}

func TestAbuseByHeadersOfManyFieldsForNoRoute(t *testing.T) {
	fields := shortFields(abuseHeaderBytes)

	withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
		go a.discard()

		for a.send("GET /none/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: a\r\n" + fields + "\r\n") {
		}
	}})
}

func TestAbuseByWithheldBodies(t *testing.T) {
	fields := shortFields(abuseHeaderBytes)

	withstand(t, crowd{clients: crowdBelowDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), fields+"Content-Length: 10\r\n\r\n"))
	}})
}

func TestAbuseByUnfinishedHeaders(t *testing.T) {
	fields := shortFields(abuseHeaderBytes)

	withstand(t, crowd{clients: crowdBelowDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), fields))
	}})
}

func TestAbuseByHeadersOverTheLimit(t *testing.T) {
	fields := shortFields(256 << 10)

	withstand(t, crowd{clients: crowdBelowDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), fields+"Content-Length: 0\r\n\r\n"))
	}})
}

func TestAbuseByEndlessHeaders(t *testing.T) {
	fields := shortFields(abuseHeaderBytes)

	for name, text := range map[string]string{
		"different fields": fields, "the same field": strings.Repeat("a:\r\n", 1<<12), "one field": "a: " + strings.Repeat("x", 16<<10),
	} {
		t.Run(name, func(t *testing.T) {
			withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
				a.send(head(fmt.Sprint("a-", a.number), ""))
				a.sendEndlessly(text)
			}})
		})
	}
}

func TestAbuseByEndlessRequestLines(t *testing.T) {
	withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
		a.send("POST /safe/")
		a.sendEndlessly(strings.Repeat("x", 16<<10))
	}})
}

func TestAbuseByEmptyLinesBeforeRequests(t *testing.T) {
	for name, text := range map[string]string{"CRLF": strings.Repeat("\r\n", 8<<10), "LF": strings.Repeat("\n", 16<<10)} {
		t.Run(name, func(t *testing.T) {
			withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
				if a.number%2 == 0 {
					a.send(head(fmt.Sprint("a-", a.number), "Content-Length: 0\r\n\r\n"))
				}

				a.sendEndlessly(text)
			}})
		})
	}
}

func TestAbuseByEmptyLinesThatDrip(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, run: func(a *abuser) {
		for a.send("\r\n") {
			time.Sleep(200 * time.Millisecond)
		}
	}})
}
