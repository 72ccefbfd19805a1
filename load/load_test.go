package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/burn"
	"monsoonlever/clock"
)

func testMix() Mix {
	return Mix{
		Name:     "test",
		Accounts: []AccountMix{{Account: "wholesale-1", Share: 3}, {Account: "wholesale-2", Share: 1}},
		Calls: []CallMix{
			{
				Service: "ledger-llm", Kind: "reconcile", PerSecond: 10, Timeout: 2 * time.Second, AsDeadline: true,
				Model: ModelMix{
					Model: "ledger-large", PromptWords: Range{5, 10, 20}, MaxTokens: Range{5, 10, 20},
					SharedPrefixes: 2, PrefixWords: 3, Streamed: 0.5,
				},
				Objective: ObjectiveMix{Whole: time.Second, Part: 0.95},
			},
			{
				Service: "payrun-api", Kind: "submit-bank-file", PerSecond: 5, Timeout: 2 * time.Second, Priority: 90,
				Plain: PlainMix{Method: http.MethodPost, Path: "/bank-files", BodyBytes: 100, Keyed: true},
			},
		},
	}
}

func runFake(t *testing.T, s *fakeServer, change func(*Options)) Result {
	t.Helper()

	s.ran = make(map[uint64]int)
	o := Options{
		Mix: testMix(), Targets: []string{"entry-1", "entry-2"}, Plain: []string{"plain-1"},
		Duration: 10 * time.Second, Seed: 7, Grace: time.Second,
		Clock: clock.System{}, Client: &http.Client{Transport: s}, Expected: fakeAnswer,
		CheckPlain: func(path string, _, reply []byte) bool { return path == "/bank-files" && string(reply) == "ok" },
	}

	if change != nil {
		change(&o)
	}

	var result Result

	synctest.Test(t, func(t *testing.T) {
		got, err := Run(context.Background(), o)
		if err != nil {
			t.Errorf("run: %v", err)
		}

		result = got
	})

	return result
}

func TestRunFindsBrokenPromises(t *testing.T) {
	tests := []struct {
		desc  string
		fault fakeFault
		want  []BreachKind
		end   Ending
	}{
		{desc: "all is well", fault: noFault, end: Answered},
		{desc: "another's answer", fault: wrongToken, want: []BreachKind{WrongAnswer}, end: Wrong},
		{desc: "a stream without its finish", fault: cutStream, want: []BreachKind{CutAnswer}, end: Cut},
		{desc: "a part that says it is whole", fault: claimWhole, want: []BreachKind{CutAnswer}, end: Cut},
		{desc: "no answer at all", fault: silent, want: []BreachKind{NoFinalAnswer}, end: Unanswered},
		{desc: "a connection that breaks", fault: breakConnection, end: Lost},
		{desc: "a call that runs twice", fault: runTwice, want: []BreachKind{RanTwice}, end: Answered},
		{desc: "a refused call that ran", fault: runThenRefuse, want: []BreachKind{RanThoughRefused}, end: Answered},
		{desc: "an answered call that did not run", fault: neverRun, want: []BreachKind{NeverRan}, end: Answered},
		{desc: "refusals with a time to come back", fault: refuse, end: Refused},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := runFake(t, &fakeServer{fault: tt.fault, took: 50 * time.Millisecond}, nil)

			kinds := make(map[BreachKind]bool)
			for _, b := range r.Broken {
				kinds[b.Kind] = true
			}

			want := make(map[BreachKind]bool)
			for _, k := range tt.want {
				want[k] = true
			}

			if !reflect.DeepEqual(kinds, want) {
				t.Errorf("breaches: got %v, want %v", kinds, want)
			}

			if got, want := r.Kept(), len(tt.want) == 0; got != want {
				t.Errorf("kept: got %v, want %v", got, want)
			}

			if r.Kinds[0].Count(tt.end) == 0 {
				t.Errorf("model calls: got %v, want some %s", r.Kinds[0].Endings, tt.end)
			}
		})
	}
}

func TestLatencyCountsFromWhenACallWasDue(t *testing.T) {
	s := &fakeServer{took: 300 * time.Millisecond}
	r := runFake(t, s, nil)
	got := r.Kinds[0].Whole

	if got.Count == 0 || got.P50 < s.took-time.Millisecond || got.Max > s.took+time.Millisecond {
		t.Errorf("latency: got %+v, want %v for all", got, s.took)
	}

	// About 100 calls are due in 10 s, however long each takes.
	if n := r.Kinds[0].Scheduled; n < 70 || n > 130 {
		t.Errorf("scheduled: got %d, want about 100", n)
	}

	if r.Kinds[0].Late != 0 {
		t.Errorf("late: got %d, want 0", r.Kinds[0].Late)
	}
}

func TestRunIsRepeatable(t *testing.T) {
	var results [2]Result
	for i := range results {
		results[i] = runFake(t, &fakeServer{took: 20 * time.Millisecond}, nil)
	}

	if got, want := fmt.Sprint(results[0].Kinds), fmt.Sprint(results[1].Kinds); got != want {
		t.Errorf("second run with the same seed: got %v, want %v", got, want)
	}
}

func TestRunSkipsWhatIsTooMuch(t *testing.T) {
	r := runFake(t, &fakeServer{took: time.Second}, func(o *Options) { o.MaxInFlight = 1 })

	if got := r.Kinds[0]; got.Skipped == 0 || got.Skipped >= got.Scheduled {
		t.Errorf("skipped: got %d of %d, want some but not all", got.Skipped, got.Scheduled)
	}
}

func TestKeyedCallIsSentAgainWithItsKey(t *testing.T) {
	s := &fakeServer{fault: breakConnection}
	r := runFake(t, s, func(o *Options) { o.Mix.Calls[1].Plain.Attempts = 3 })

	if got, want := r.Kinds[1].Attempts, 3*r.Kinds[1].Scheduled; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}

	counts := make(map[string]int)
	for _, h := range s.headers {
		counts[h.Get(headerKey)]++
	}

	delete(counts, "")

	for key, got := range counts {
		if got != 3 {
			t.Errorf("key %s: got %d attempts, want 3", key, got)
		}
	}
}

func TestFaultsArePostedAndReported(t *testing.T) {
	s := &fakeServer{}
	r := runFake(t, s, func(o *Options) {
		o.Servers = []Server{{Name: "engine", URL: "http://engine"}}
		o.Faults = []FaultMix{
			{At: 2 * time.Second, Server: "engine", Path: "/faults", Body: `{"kind":"slow"}`},
			{At: time.Second, Server: "nobody", Path: "/faults"},
		}
	})

	if got, want := fmt.Sprint(s.posted), `[{"kind":"slow"}]`; got != want {
		t.Errorf("posted: got %v, want %v", got, want)
	}

	if len(r.Faults) != 2 || r.Faults[0].Error == "" || r.Faults[1].At != 2*time.Second {
		t.Errorf("faults: got %+v, want a failed one and one at 2s", r.Faults)
	}
}

func TestServerThatIsGoneCountsAsLastSeen(t *testing.T) {
	s := &fakeServer{fault: runTwice, goneAfter: 8}
	r := runFake(t, s, nil)

	if r.Keys.Checked {
		t.Error("checked: got true, want false")
	}

	if r.Keys.Twice == 0 || r.Keys.Twice == r.Keys.Sent {
		t.Errorf("ran twice: got %d of %d, want those that were seen", r.Keys.Twice, r.Keys.Sent)
	}
}

func TestResultRenders(t *testing.T) {
	var progress bytes.Buffer

	r := runFake(t, &fakeServer{fault: runTwice}, func(o *Options) { o.Progress = &progress })

	var table, file bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}

	if err := r.WriteJSON(&file); err != nil {
		t.Fatal(err)
	}

	for _, want := range []string{"submit-bank-file", "promises: BROKEN", "ranTwice"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("table: got no %q in\n%s", want, table.String())
		}
	}

	if want := "in flight"; !strings.Contains(progress.String(), want) {
		t.Errorf("progress: got no %q", want)
	}

	snapshot, err := burn.Read(&file)
	if err != nil {
		t.Fatal(err)
	}

	if got, want := len(burn.NewReport(snapshot).Rows), 4; got != want {
		t.Errorf("rows of the burn report: got %d, want %d", got, want)
	}
}

func TestExampleMixes(t *testing.T) {
	files, err := filepath.Glob("../examples/*.mix.jsonc")
	if err != nil || len(files) != 2 {
		t.Fatalf("examples: got %v and %v, want two", files, err)
	}

	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}

		if _, err := ReadMix(file, data); err != nil {
			t.Errorf("%s: got %v, want no finding", file, err)
		}
	}
}

func TestReadMixReportsAllFaults(t *testing.T) {
	_, err := ReadMix("x.mix.jsonc", []byte(`{"accounts": [{"share": 0}], "calls": [{"service": "s", "kind": "k"}]}`))
	if err == nil {
		t.Fatal("error: got none, want findings")
	}

	for _, want := range []string{"accounts[0]", "calls[0]", "calls[0].timeout"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error: got %v, want one about %s", err, want)
		}
	}
}
