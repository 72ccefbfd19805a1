package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/admission"
	"monsoonlever/answer"
	"monsoonlever/clock"
	"monsoonlever/refusal"
)

func TestRefusalOfGiveUp(t *testing.T) {
	tests := []struct {
		desc   string
		reason answer.Reason
		ran    answer.RanState
		code   refusal.Code
		run    refusal.RunState
	}{
		{desc: "no server, nothing sent", reason: answer.ReasonNoServer, ran: answer.NotRun, code: refusal.NoServer, run: refusal.NotRun},
		{desc: "no server, partly run", reason: answer.ReasonNoServer, ran: answer.PartlyRan, code: refusal.AnswerLost, run: refusal.Unknown},
		{desc: "every server refused", reason: answer.ReasonRetryBudget, ran: answer.NotRun, code: refusal.ServerRefused, run: refusal.NotRun},
		{desc: "retries exhausted, run unknown", reason: answer.ReasonRetryBudget, ran: answer.RanUnknown, code: refusal.AnswerLost, run: refusal.Unknown},
		{desc: "deadline before the first attempt", reason: answer.ReasonDeadline, ran: answer.NotRun, code: refusal.DeadlinePassed, run: refusal.NotRun},
		{desc: "deadline after some tokens", reason: answer.ReasonDeadline, ran: answer.PartlyRan, code: refusal.DeadlinePassed, run: refusal.Unknown},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got := refusalOfGiveUp(answer.GiveUp{Reason: tt.reason, Ran: tt.ran, RetryAfter: time.Second})
			if got.Code() != tt.code || got.Run() != tt.run || got.RetryAfter() != time.Second {
				t.Errorf("refusal: got %v, run %s, retry after %v; want %s, %s, 1s",
					got, got.Run(), got.RetryAfter(), tt.code, tt.run)
			}
		})
	}
}

func TestGiveUpHasErrorStatus(t *testing.T) {
	for _, reason := range []answer.Reason{answer.ReasonCallerGone, answer.ReasonDeadline, answer.ReasonNoServer} {
		w := httptest.NewRecorder()
		s := &sink{w: w, control: http.NewResponseController(w), clock: clock.System{}}

		if err := s.GiveUp(answer.GiveUp{Reason: reason, Ran: answer.NotRun}); err != nil {
			t.Fatal(err)
		}

		if w.Code < 400 {
			t.Errorf("%s: got status %d, want an error", reason, w.Code)
		}
	}
}

func TestDeadlinePassedInQueueIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(t)

		for {
			ticket := g.Admission.Admit(time.Now(), admission.Request{Service: "payrun-api", Account: testAccount})
			if _, final := ticket.Decision(); !final {
				break
			}
		}

		r := newRequest("GET", "/services/payrun-api/bank-files/1", "")
		r.Header.Set(HeaderTimeout, "2s")

		start := time.Now()

		_, detail := send(t, g.Handler(), r)
		if detail.Code != refusal.DeadlinePassed || detail.Run != refusal.NotRun || detail.RetryAfterSeconds == 0 {
			t.Errorf("refusal: got %+v, want deadlinePassed, notRun and a retry delay", detail)
		}

		if got := time.Since(start); got != 2*time.Second {
			t.Errorf("refused after: got %v, want 2s", got)
		}
	})
}
