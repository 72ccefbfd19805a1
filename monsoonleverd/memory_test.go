package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/platform/soak"
	"monsoonlever/platform/standin"
)

const (
	// testMemoryMegabytes is the memory that the settings allow the instance.
	testMemoryMegabytes = 128
	// endlessCallers send requests to faulty servers at the same time, and soundCallers to sound ones.
	endlessCallers = 64
	soundCallers   = 8
)

// endlessResponses are responses without an end, by the path of the request.
var endlessResponses = map[string][]string{
	"/safe/": {
		"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nRunner-Signature: s\r\nContent-Length: 1099511627776\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nRunner-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nRunner-Signature: s\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 500 X\r\nRequest-Id: %s\r\nRunner-Signature: s\r\n\r\n",
		"HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: %s",
	},
	"/tell/": {
		"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nRunner-Signature: s\r\n\r\nid: 1\ndata: ",
		"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nRunner-Signature: s\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: ",
		"HTTP/1.1 %s",
	},
}

// Guards against responses that each stay within their own bound and together exceed the memory of the
// instance, which is then killed with all requests of its other callers.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	t.Parallel()

	p := soak.NewPlatform()
	defer p.Close()

	p.SetBehaviour(endlessUnlessSound)

	settings := filepath.Join(t.TempDir(), "settings.jsonc")
	e := launchProgram(t, p, buildProgram(t), settings, func(text []byte) []byte {
		return bytes.Replace(text, []byte(`"memoryMegabytes":256`), fmt.Appendf(nil, `"memoryMegabytes":%d`, testMemoryMegabytes), 1)
	})
	e.awaitReady(t, p)

	ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
	defer stop()

	var (
		group                  conc.WaitGroup
		endless, sound, failed atomic.Int64
	)

	for n := range endlessCallers {
		path := "/safe/"
		if n%3 == 0 {
			path = "/tell/"
		}

		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				call(e, path, fmt.Sprint("endless-", n, "-", i))
				endless.Add(1)
			}
		})
	}

	for n := range soundCallers {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				status, body := call(e, "/safe/", fmt.Sprint("sound-", n, "-", i))
				sound.Add(1)

				if status != http.StatusOK || body != "ok" {
					failed.Add(1)
				}
			}
		})
	}

	group.Wait()

	if got, want := peakMemory(t, e.command.Process.Pid), int64(testMemoryMegabytes<<20); got > want {
		t.Errorf("peak memory: got %d MB, want at most %d", got>>20, want>>20)
	}

	if endless.Load() < endlessCallers || sound.Load() < soundCallers || failed.Load() > 0 {
		t.Errorf("got %d endless and %d sound requests, of which %d failed, want none", endless.Load(), sound.Load(), failed.Load())
	}
}

// endlessUnlessSound answers requests whose ID says so as a sound server.
func endlessUnlessSound(w http.ResponseWriter, r *http.Request, received standin.ReceivedRequest) {
	if strings.HasPrefix(received.ID, "sound") {
		standin.Respond(http.StatusOK, "ok")(w, r, received)

		return
	}

	responses := endlessResponses[r.URL.Path]
	number, _ := strconv.Atoi(received.ID[strings.LastIndex(received.ID, "-")+1:]) // zero is as good
	standin.WriteEndless(responses[number%len(responses)], strings.Repeat("x", 128<<10))(w, r, received)
}

// call sends a request and returns the status, zero if there is none, and the body.
func call(e *process, path, id string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.addresses.Callers+path, nil)
	if err != nil {
		panic(err)
	}

	r.Host = "a.example"
	r.Header = http.Header{"Request-Id": {id}, "Authorization": {"Bearer key"}, "Deadline-Ms": {"3000"}}

	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}

	return response.StatusCode, string(body)
}

// buildProgram builds monsoonleverd without the race detector, which takes several times the memory.
func buildProgram(t *testing.T) soak.Program {
	t.Helper()

	path := filepath.Join(t.TempDir(), "monsoonleverd")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: got %v, want no error\n%s", err, out)
	}

	return soak.Program{Path: path}
}

// peakMemory returns the largest resident memory of a process in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()

	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}

	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(rest), " ")

	peak, err := strconv.ParseInt(kilobytes, 10, 64)
	if err != nil {
		t.Fatalf("peak memory: got %q, want a number", kilobytes)
	}

	return peak << 10
}
