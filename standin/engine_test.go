package standin_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/standin"
)

func TestContinuationsMakeUpTheAnswer(t *testing.T) {
	engine := clientOf(t, newEngine())

	rapid.Check(t, func(rt *rapid.T) {
		prompt := rapid.StringMatching(`[a-z]{1,5}( [a-z]{1,5}){0,20}`).Draw(rt, "prompt")
		maxTokens := rapid.IntRange(0, 300).Draw(rt, "maxTokens")
		want := standin.ExpectedAnswer(model, prompt, maxTokens)
		kept := rapid.IntRange(0, len(want)).Draw(rt, "kept")

		events, err := generate(t, engine, backend.GenerateRequest{
			Attempt: "a", Model: model, Prompt: prompt, MaxTokens: maxTokens, Generated: want[:kept],
		})
		if !errors.Is(err, io.EOF) || len(events) != len(want)-kept+1 {
			rt.Fatalf("events: got %d, %v, want %d", len(events), err, len(want)-kept+1)
		}

		for i, event := range events[:len(events)-1] {
			if event.Offset != kept+i || event.Token != want[kept+i] {
				rt.Errorf("event: got %+v, want %q at %d", event, want[kept+i], kept+i)
			}
		}

		last := events[len(events)-1]
		if got, want := last.Finish, standin.ExpectedFinish(model, prompt, maxTokens); got != want {
			rt.Errorf("finish: got %q, want %q", got, want)
		}

		if got, want := last.Usage.DecodedTokens, len(want)-kept; got != want {
			rt.Errorf("decoded: got %d, want %d", got, want)
		}
	})
}

func TestStreamFaultsLeaveNoFinish(t *testing.T) {
	tests := []struct {
		desc   string
		kind   standin.FaultKind
		events int
		want   error
	}{
		{desc: "broken", kind: standin.KillStream, events: 3, want: io.ErrUnexpectedEOF},
		{desc: "ended in good order", kind: standin.TruncateStream, events: 3, want: io.ErrUnexpectedEOF},
		{desc: "garbled", kind: standin.GarbleStream, events: 3, want: backend.ErrMalformedEvent},
		{desc: "repeated", kind: standin.RepeatTokens, events: 33, want: io.EOF},
		{desc: "crossed", kind: standin.CrossTokens, events: 33, want: io.EOF},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			fake := newEngine()
			engine := clientOf(t, fake)
			apply(t, fake.Faults, standin.FaultOrder{Kind: tt.kind, AfterTokens: 3})

			request := backend.GenerateRequest{Attempt: "a", Model: model, Prompt: "p", MaxTokens: 16}

			events, err := generate(t, engine, request)
			if !errors.Is(err, tt.want) {
				t.Errorf("error: got %v, want %v", err, tt.want)
			}

			if len(events) != tt.events {
				t.Errorf("events: got %d, want %d", len(events), tt.events)
			}

			if events, err := generate(t, engine, request); !errors.Is(err, io.EOF) || len(events) != 17 {
				t.Errorf("next stream: got %d events, %v, want 17", len(events), err)
			}
		})
	}
}

func TestRefusedAttemptsAreNotStarted(t *testing.T) {
	tests := []struct {
		desc    string
		prepare func(*standin.Engine)
	}{
		{desc: "other model", prepare: func(e *standin.Engine) { e.Model = "m2" }},
		{desc: "queue is full", prepare: func(e *standin.Engine) { e.Slots, e.Queue = 0, 0 }},
		{desc: "drained", prepare: func(e *standin.Engine) {
			e.Faults.Apply(standin.FaultOrder{Kind: standin.Drain})
		}},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			fake := newEngine()
			tt.prepare(fake)

			_, err := clientOf(t, fake).Generate(t.Context(), backend.GenerateRequest{Attempt: "a", Model: model})
			if !errors.Is(err, backend.ErrRefused) {
				t.Errorf("generate: got %v, want %v", err, backend.ErrRefused)
			}
		})
	}
}

func TestOldFence(t *testing.T) {
	tests := []struct {
		desc   string
		checks bool
		want   error
		role   string
		fence  uint64
	}{
		{desc: "refused", checks: true, want: backend.ErrStaleFence, role: "new", fence: 7},
		{desc: "ignored", checks: false, role: "old", fence: 6},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			fake := newEngine()
			fake.ChecksFence = tt.checks
			engine := clientOf(t, fake)

			if err := engine.Order(t.Context(), backend.Order{Fence: 7, Model: model, Role: "new"}); err != nil {
				t.Fatalf("first order: got %v, want none", err)
			}

			err := engine.Order(t.Context(), backend.Order{Fence: 6, Model: model, Role: "old"})
			if !errors.Is(err, tt.want) {
				t.Errorf("old order: got %v, want %v", err, tt.want)
			}

			state, err := engine.State(t.Context())
			if err != nil || state.Role != tt.role || state.Fence != tt.fence || state.ChecksFence != tt.checks {
				t.Errorf("state: got %+v, %v, want role %s under fence %d", state, err, tt.role, tt.fence)
			}
		})
	}
}

func TestOrderLoadsThroughTheWeightStore(t *testing.T) {
	c := clock.NewManual(start)
	fake := newEngine()
	fake.Weights = standin.NewWeights(c)
	apply(t, fake.Weights.(*standin.Weights).Faults, standin.FaultOrder{Kind: standin.Freeze})
	engine := clientOf(t, fake)

	order := backend.Order{Fence: 1, Model: "m2", Version: "2"}
	if err := engine.Order(t.Context(), order); err != nil {
		t.Fatal(err)
	}

	if state := fake.State(); state.Ready || state.Model != "m2" {
		t.Errorf("state while loading: got %+v, want m2 not ready", state)
	}

	apply(t, fake.Weights.(*standin.Weights).Faults, standin.FaultOrder{Kind: standin.Clear})
	fake.Wait()

	if state := fake.State(); !state.Ready {
		t.Errorf("state when loaded: got %+v, want ready", state)
	}
}

func TestFailedLoadIsMadeGoodByTheNextOrder(t *testing.T) {
	weights := standin.NewWeights(clock.NewManual(start))
	apply(t, weights.Faults, standin.FaultOrder{Kind: standin.Down})

	fake := newEngine()
	fake.Weights = weights
	engine := clientOf(t, fake)

	for _, want := range []bool{false, true} {
		if err := engine.Order(t.Context(), backend.Order{Fence: 1, Model: "m2"}); err != nil {
			t.Fatal(err)
		}

		fake.Wait()

		if got := fake.State().Ready; got != want {
			t.Errorf("ready: got %v, want %v", got, want)
		}

		apply(t, weights.Faults, standin.FaultOrder{Kind: standin.Clear})
	}
}

func TestRedoneTokensAreCounted(t *testing.T) {
	prompt := strings.Repeat("word ", 40)
	kept := standin.ExpectedAnswer(model, prompt, 8)

	tests := []struct {
		desc    string
		request backend.GenerateRequest
		export  bool
		want    standin.UsageTotals
	}{
		{
			desc:    "from the start on another engine",
			request: backend.GenerateRequest{},
			want:    standin.UsageTotals{Attempts: 1, Prefilled: 40, Decoded: 16, RedonePrefill: 40, RedoneDecode: 8},
		},
		{
			desc:    "resumed by a prefill",
			request: backend.GenerateRequest{Generated: kept},
			want:    standin.UsageTotals{Attempts: 1, Prefilled: 48, Decoded: 8, RedonePrefill: 48},
		},
		{
			desc:    "resumed with the exported kv cache",
			request: backend.GenerateRequest{Generated: kept, KV: "kv-first"},
			export:  true,
			want:    standin.UsageTotals{Attempts: 1, Cached: 48, Decoded: 8},
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			first, second := newEngine(), newEngine()
			second.Ledger = first.Ledger
			firstClient := clientOf(t, first)
			secondAddress := serve(t, second.Handler())
			secondClient := backend.NewHTTPEngine(secondAddress, &http.Client{})

			generate(t, firstClient, backend.GenerateRequest{Attempt: "first", Model: model, Prompt: prompt, MaxTokens: 8})

			if tt.export {
				name, err := firstClient.ExportKV(t.Context(), "first", secondAddress)
				if err != nil || name != tt.request.KV {
					t.Fatalf("export: got %q, %v, want %q", name, err, tt.request.KV)
				}
			}

			tt.request.Attempt, tt.request.Model = "second", model
			tt.request.Prompt, tt.request.MaxTokens = prompt, 16

			if _, err := generate(t, secondClient, tt.request); !errors.Is(err, io.EOF) {
				t.Fatalf("generate: got %v, want %v", err, io.EOF)
			}

			if got := second.Usage(); got != tt.want {
				t.Errorf("usage: got %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestPrefixIsCachedInBoundedMemory(t *testing.T) {
	c := clock.NewManual(start)
	fake := standin.NewEngine(c)
	fake.Model = model
	fake.CacheBlocks = 2
	fake.CacheEventDelay = 1
	fake.CacheEventGap = 4
	engine := clientOf(t, fake)
	prompt := strings.Repeat("word ", 40)
	request := backend.GenerateRequest{Attempt: "a", Model: model, Prompt: prompt, MaxTokens: 1}

	for _, want := range []int{0, 32} {
		if got := cachedBy(t, engine, request); got != want {
			t.Errorf("cached: got %d, want %d", got, want)
		}
	}

	if events, err := engine.CacheEvents(t.Context(), 0); err != nil || len(events) != 0 {
		t.Errorf("cache events before their time: got %v, %v, want none", events, err)
	}

	generate(t, engine, backend.GenerateRequest{
		Attempt: "b", Model: model, Prompt: strings.Repeat("else ", 16), MaxTokens: 1,
	})
	c.Advance(1)

	if cached := cachedBy(t, engine, request); cached != 0 {
		t.Errorf("cached after the eviction: got %d, want 0", cached)
	}

	hashes := backend.PrefixHashes(model, prompt)
	other := backend.PrefixHashes(model, strings.Repeat("else ", 16))
	want := []backend.CacheEvent{
		{Sequence: 1, Prefix: hashes[0]},
		{Sequence: 2, Prefix: hashes[1]},
		{Sequence: 3, Prefix: other[0]},
	}

	events, err := engine.CacheEvents(t.Context(), 0)
	if err != nil || len(events) != len(want) {
		t.Fatalf("cache events: got %v, %v, want %v and the eviction lost", events, err, want)
	}

	for i := range want {
		if events[i] != want[i] {
			t.Errorf("cache event: got %+v, want %+v", events[i], want[i])
		}
	}
}

// finishWriter calls onFinish before it writes the finish event of a stream.
type finishWriter struct {
	*httptest.ResponseRecorder

	onFinish func()
}

func (w *finishWriter) Write(data []byte) (int, error) {
	if bytes.Contains(data, []byte(`"finish"`)) {
		w.onFinish()
	}

	return w.ResponseRecorder.Write(data)
}

// Guards against a caller whose next request overtakes the caching of the answer that it has read to its
// end, and finds less cached than the prompt and the answer have.
func TestDecodedPrefixIsCachedBeforeFinish(t *testing.T) {
	fake := standin.NewEngine(clock.NewManual(start))
	fake.Model = model

	handler := fake.Handler()
	cachedBlocks := func() int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, backend.CacheEventsPath+"?"+backend.AfterParam+"=0", nil))

		var events []backend.CacheEvent
		if err := json.Unmarshal(w.Body.Bytes(), &events); err != nil {
			t.Errorf("cache events: got %q, %v, want a list", w.Body, err)
		}

		return len(events)
	}

	// The prompt has less than a block. The answer fills one or more.
	request, err := json.Marshal(backend.GenerateRequest{Attempt: "a", Model: model, Prompt: "word", MaxTokens: 100})
	if err != nil {
		t.Fatal(err)
	}

	got := 0

	w := &finishWriter{ResponseRecorder: httptest.NewRecorder(), onFinish: func() { got = cachedBlocks() }}
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, backend.GeneratePath, bytes.NewReader(request)))

	if want := cachedBlocks(); w.Code != http.StatusOK || got != want || want == 0 {
		t.Errorf("got status %d, %d blocks cached before the finish event, want %d as after it", w.Code, got, want)
	}
}

// cachedBy returns how many tokens the cache spared an attempt.
func cachedBy(t *testing.T, e backend.Engine, r backend.GenerateRequest) int {
	t.Helper()

	events, err := generate(t, e, r)
	if !errors.Is(err, io.EOF) {
		t.Fatalf("generate: got %v, want %v", err, io.EOF)
	}

	return events[len(events)-1].Usage.CachedTokens
}

func TestCancelEndsAnAttempt(t *testing.T) {
	c := clock.NewManual(start)
	fake := standin.NewEngine(c)
	fake.Model = model
	fake.TokenInterval = 1
	engine := clientOf(t, fake)

	stream, err := engine.Generate(t.Context(), backend.GenerateRequest{Attempt: "a", Model: model, Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}

	if err := engine.Cancel(t.Context(), "a"); err != nil {
		t.Errorf("cancel: got %v, want none", err)
	}

	if events, err := collect(stream); len(events) != 0 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("stream: got %v, %v, want it broken", events, err)
	}
}
