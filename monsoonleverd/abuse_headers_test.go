package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against headers within their limit whose parsed forms, as received and as sent on, together exceed the memory.
func TestAbuseByHeadersOfManyFields(t *testing.T) {
	fields := shortFields(abuseHeaderBytes)

	withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
		go a.discard()

		for a.send(head(fmt.Sprint("a-", a.number), fields+"Content-Length: 0\r\n\r\n")) {
		}
	}})
}

// Guards against the same headers of requests that no rule routes.
func TestAbuseByHeadersOfManyFieldsForNoRoute(t *testing.T) {
	fields := shortFields(abuseHeaderBytes)

	withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
		go a.discard()

		for a.send("GET /none/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: a\r\n" + fields + "\r\n") {
		}
	}})
}

// Guards against complete headers that are held while their bodies never arrive.
func TestAbuseByWithheldBodies(t *testing.T) {
	fields := shortFields(abuseHeaderBytes)

	withstand(t, crowd{clients: crowdBelowDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), fields+"Content-Length: 10\r\n\r\n"))
	}})
}

// Guards against headers in parsing that together exceed the memory.
func TestAbuseByUnfinishedHeaders(t *testing.T) {
	fields := shortFields(abuseHeaderBytes)

	withstand(t, crowd{clients: crowdBelowDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), fields))
	}})
}

// Guards against headers over the limit that are parsed up to it.
func TestAbuseByHeadersOverTheLimit(t *testing.T) {
	fields := shortFields(256 << 10)

	withstand(t, crowd{clients: crowdBelowDescriptors, hold: true, run: func(a *abuser) {
		a.send(head(fmt.Sprint("a-", a.number), fields+"Content-Length: 0\r\n\r\n"))
	}})
}

// Guards against headers without an end.
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

// Guards against request lines without an end.
func TestAbuseByEndlessRequestLines(t *testing.T) {
	withstand(t, crowd{clients: crowdBelowDescriptors, run: func(a *abuser) {
		a.send("POST /safe/")
		a.sendEndlessly(strings.Repeat("x", 16<<10))
	}})
}

// Guards against empty lines without an end before a request.
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

// Guards against empty lines that keep connections open.
func TestAbuseByEmptyLinesThatDrip(t *testing.T) {
	withstand(t, crowd{clients: crowdAboveDescriptors, run: func(a *abuser) {
		for a.send("\r\n") {
			time.Sleep(200 * time.Millisecond)
		}
	}})
}
