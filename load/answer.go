package load

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"

	"monsoonlever/chat"
	"monsoonlever/refusal"
)

// doneMarker ends a stream.
const doneMarker = "[DONE]"

// chunk is one event of a stream, as far as it is checked.
type chunk struct {
	Choices []chunkChoice   `json:"choices"`
	Error   *refusal.Detail `json:"error"`
}

type chunkChoice struct {
	Delta  chunkDelta `json:"delta"`
	Finish string     `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content"`
}

// stream gathers a streamed answer.
type stream struct {
	text   strings.Builder
	first  time.Time
	last   time.Time
	gaps   []time.Duration
	tokens int
	finish string
	done   bool
	err    *refusal.Detail
}

func (s *stream) add(now time.Time, c chunk) {
	if c.Error != nil {
		s.err = c.Error
	}

	for _, choice := range c.Choices {
		if choice.Finish != "" {
			s.finish = choice.Finish
		}

		if choice.Delta.Content == "" {
			continue
		}

		if s.tokens == 0 {
			s.first = now
		} else {
			s.gaps = append(s.gaps, now.Sub(s.last))
		}

		s.last = now
		s.tokens++
		s.text.WriteString(choice.Delta.Content)
	}
}

// gap returns the 95th percentile of the times between tokens.
func (s *stream) gap() time.Duration {
	const part = 0.95

	if len(s.gaps) == 0 {
		return 0
	}

	slices.Sort(s.gaps)

	return s.gaps[int(float64(len(s.gaps)-1)*part)]
}

func (c *caller) readStream(ctx context.Context, p *planned, response *http.Response) finished {
	var s stream

	decoder := ssestream.NewDecoder(response)

	for !s.done && decoder.Next() {
		data := strings.TrimSpace(string(decoder.Event().Data))

		switch data {
		case "":
		case doneMarker:
			s.done = true
		default:
			var event chunk
			if err := json.Unmarshal([]byte(data), &event); err != nil {
				return finished{ending: Wrong, detail: "event is not JSON: " + err.Error()}
			}

			s.add(c.clock.Now(), event)
		}
	}

	f := c.judgeStream(ctx, p, &s, decoder.Err())
	f.whole = c.sinceDue(p)
	f.betweenTokens = s.gap()
	f.tokens = s.tokens

	if s.tokens > 0 {
		f.firstToken = s.first.Sub(c.start.Add(p.at))
	}

	return f
}

func (c *caller) judgeStream(ctx context.Context, p *planned, s *stream, err error) finished {
	switch {
	case s.err != nil:
		return finished{
			ending: Failed, code: s.err.Code, run: s.err.Run, detail: s.err.Message,
			retryAfter: time.Duration(s.err.RetryAfterSeconds) * time.Second,
		}
	case err != nil:
		return c.ended(ctx, Cut, err)
	case !s.done || s.finish == "":
		return finished{ending: Cut, detail: "stream ended without its finish"}
	default:
		return c.compare(p, s.text.String())
	}
}

func (c *caller) checkWhole(p *planned, body []byte, whole time.Duration) finished {
	var response chat.Response
	if err := json.Unmarshal(body, &response); err != nil {
		return finished{ending: Cut, detail: "answer is not JSON: " + err.Error(), whole: whole}
	}

	if len(response.Choices) == 0 || response.Choices[0].FinishReason == "" {
		return finished{ending: Cut, detail: "answer without a finish", whole: whole}
	}

	f := c.compare(p, string(response.Choices[0].Message.Content))
	f.whole = whole
	f.tokens = response.Usage.CompletionTokens

	return f
}

// compare tells the expected answer from a part of it and from any other.
func (c *caller) compare(p *planned, got string) finished {
	if c.expected == nil {
		return finished{ending: Answered}
	}

	want := strings.Join(c.expected(p.model.Model, p.model.Prompt(), p.model.MaxOutputTokens()), "")

	switch {
	case got == want:
		return finished{ending: Answered}
	case strings.HasPrefix(want, got):
		return finished{ending: Cut, detail: "answer ends early but says that it is whole"}
	default:
		return finished{ending: Wrong, detail: "answer differs from the expected one"}
	}
}
