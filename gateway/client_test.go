package gateway

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
	"monsoonlever/standin"
)

const testQuestion = "Explain the mismatched remittances."

// testPrompt is the prompt that is built from testQuestion.
const testPrompt = "user: " + testQuestion + "\n"

// runnerModels answers model requests with an answer.Runner.
type runnerModels struct {
	runner *answer.Runner
}

func (m runnerModels) Answer(ctx context.Context, r ModelRequest, sink answer.Sink) answer.Result {
	return m.runner.Run(ctx, r.Answer, sink)
}

// newClient returns an OpenAI client of the gateway without retries.
func newClient(t *testing.T, g *Gateway, secret string) openai.Client {
	t.Helper()

	server := httptest.NewServer(g.Handler())
	t.Cleanup(server.Close)

	return openai.NewClient(
		option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey(secret), option.WithMaxRetries(0),
	)
}

func newModelGateway(t *testing.T, accounts ...admission.AccountConfig) (*Gateway, *standin.Engine, *engineTap) {
	t.Helper()

	engine, tap, source := newEngine(t)
	g := newGateway(t, accounts...)
	runner := newRunner(source)
	g.Models = runnerModels{runner: runner}
	t.Cleanup(runner.Wait)

	return g, engine, tap
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    testModel,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(testQuestion)},
	}
}

func expectedText() string {
	return strings.Join(standin.ExpectedAnswer(testModel, testPrompt, 0), "")
}

func TestClientReceivesAnswer(t *testing.T) {
	g, _, _ := newModelGateway(t)
	client := newClient(t, g, testSecret)

	got, err := client.Chat.Completions.New(t.Context(), chatParams())
	if err != nil {
		t.Fatal(err)
	}

	if got, want := got.Choices[0].Message.Content, expectedText(); got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}

	if got, want := got.Choices[0].FinishReason, standin.ExpectedFinish(testModel, testPrompt, 0); got != want {
		t.Errorf("finish: got %q, want %q", got, want)
	}

	tokens := int64(len(standin.ExpectedAnswer(testModel, testPrompt, 0)))
	if u := got.Usage; u.CompletionTokens != tokens || u.TotalTokens != u.PromptTokens+tokens || u.PromptTokens == 0 {
		t.Errorf("usage: got %+v, want %d completion tokens", u, tokens)
	}
}

func TestClientReceivesStreamedAnswer(t *testing.T) {
	for _, withUsage := range []bool{false, true} {
		g, _, _ := newModelGateway(t)
		client := newClient(t, g, testSecret)

		params := chatParams()
		if withUsage {
			params.StreamOptions.IncludeUsage = openai.Bool(true)
		}

		stream := client.Chat.Completions.NewStreaming(t.Context(), params)

		var accumulated openai.ChatCompletionAccumulator
		for stream.Next() {
			if !accumulated.AddChunk(stream.Current()) {
				t.Fatal("chunk: got one of another answer, want one of the same answer")
			}
		}

		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}

		if got, want := accumulated.Choices[0].Message.Content, expectedText(); got != want {
			t.Errorf("answer: got %q, want %q", got, want)
		}

		if got := accumulated.Usage.CompletionTokens > 0; got != withUsage {
			t.Errorf("usage is included: got %v, want %v", got, withUsage)
		}
	}
}

func TestModelsAreListed(t *testing.T) {
	client := newClient(t, newGateway(t), testSecret)

	page, err := client.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	if len(page.Data) != 1 || page.Data[0].ID != testModel {
		t.Errorf("models: got %+v, want %s", page.Data, testModel)
	}
}

func TestClientCancelEndsAttempt(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		g, _, tap := newModelGateway(t)
		tap.blockAfter = 3
		client := newClient(t, g, testSecret)

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		if streamed {
			stream := client.Chat.Completions.NewStreaming(ctx, chatParams())
			if !stream.Next() {
				t.Fatalf("first chunk: got none (%v), want one", stream.Err())
			}

			cancel()

			for stream.Next() {
			}

			if stream.Err() == nil {
				t.Error("stream: got a complete answer, want an error")
			}
		} else {
			failed := make(chan error, 1)
			go func() {
				_, err := client.Chat.Completions.New(ctx, chatParams())
				failed <- err
			}()

			<-tap.started
			cancel()

			if err := <-failed; !errors.Is(err, context.Canceled) {
				t.Errorf("error: got %v, want %v", err, context.Canceled)
			}
		}

		// The timeout of the test run limits both waits.
		<-tap.ended
		<-tap.cancelled
	}
}

func TestInterruptedStreamIsAnError(t *testing.T) {
	for _, kind := range []standin.FaultKind{standin.KillStream, standin.TruncateStream, standin.GarbleStream} {
		for _, streamed := range []bool{true, false} {
			g, engine, _ := newModelGateway(t)
			client := newClient(t, g, testSecret)

			if err := engine.Faults.Apply(standin.FaultOrder{Kind: kind, AfterTokens: 5}); err != nil {
				t.Fatal(err)
			}

			var err error

			chunks := 0

			if streamed {
				stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams())
				for stream.Next() {
					chunks++
				}

				err = stream.Err()
			} else {
				_, err = client.Chat.Completions.New(t.Context(), chatParams())
			}

			if !isAnswerLost(err) {
				t.Errorf("%s, streamed %v: got %v after %d chunks, want %s", kind, streamed, err, chunks, refusal.AnswerLost)
			}

			if streamed && chunks != 5 {
				t.Errorf("%s: got %d chunks before the error, want 5", kind, chunks)
			}
		}
	}
}

// isAnswerLost reports whether a client error is the refusal answerLost, sent within a
// stream or in place of an answer.
func isAnswerLost(err error) bool {
	var (
		apiError    *openai.Error
		streamError *ssestream.StreamError
	)

	switch {
	case errors.As(err, &apiError):
		return apiError.Code == string(refusal.AnswerLost)
	case errors.As(err, &streamError):
		return strings.Contains(streamError.Message, string(refusal.AnswerLost))
	default:
		return false
	}
}

func TestClientReceivesRefusal(t *testing.T) {
	tests := []struct {
		desc       string
		secret     string
		model      string
		prepare    func(*Gateway)
		want       refusal.Code
		retryAfter bool
	}{
		{desc: "unknown model", model: "m", want: refusal.UnknownModel},
		{desc: "bad key", secret: "x", want: refusal.Unauthorized},
		{desc: "over the limit", prepare: exhaustConcurrencyLimit, want: refusal.LimitExceeded, retryAfter: true},
		{desc: "not ready", prepare: func(g *Gateway) { g.Manifest = func() *manifest.Manifest { return nil } }, want: refusal.NotReady, retryAfter: true},
		{desc: "shutting down", prepare: (*Gateway).Stop, want: refusal.ShuttingDown, retryAfter: true},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			g, _, _ := newModelGateway(t, admission.AccountConfig{Account: testAccount, Concurrent: 1})
			if tt.prepare != nil {
				tt.prepare(g)
			}

			params := chatParams()
			if tt.model != "" {
				params.Model = tt.model
			}

			secret := testSecret
			if tt.secret != "" {
				secret = tt.secret
			}

			client := newClient(t, g, secret)
			start := time.Now()
			_, err := client.Chat.Completions.New(t.Context(), params)

			var apiError *openai.Error
			if !errors.As(err, &apiError) {
				t.Fatalf("error: got %v, want an API error", err)
			}

			if apiError.Code != string(tt.want) || apiError.StatusCode != tt.want.Status() || apiError.Type != "refusal" {
				t.Errorf("error: got %d %s %s, want %d %s", apiError.StatusCode, apiError.Code, apiError.Type, tt.want.Status(), tt.want)
			}

			if got := apiError.Response.Header.Get("Retry-After") != ""; got != tt.retryAfter {
				t.Errorf("Retry-After is set: got %v, want %v", got, tt.retryAfter)
			}

			if got, limit := time.Since(start), 5*time.Second; got > limit {
				t.Errorf("refused after: got %v, want an immediate refusal", got)
			}
		})
	}
}
