package ratelimit

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"monsoonlever/clock"
	"monsoonlever/codec"
	"monsoonlever/fleet"
	"monsoonlever/register"
)

// BenchmarkAnswer is the cost of one question at the instance that grants, with its
// message and its reply.
func BenchmarkAnswer(b *testing.B) {
	leaders := []fleet.InstanceID{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}
	server := register.Process{ID: "i-0123456789", Incarnation: 1_790_000_000_123}
	self := RankLeaders(server, leaders)[0]
	asker := &Limiter{Self: self, Clock: clock.NewSteady(), Announcements: &notes{}, Granter: &Granter{Self: self}}
	asker.Granter.SetLeaders(asker.Clock.Now(), leaders)

	question, err := msgpack.Marshal(&PermitRequest{
		From: "entry-9", Number: 1, Server: server, Rate: 1.5, Age: time.Second, Patience: time.Millisecond,
	})
	if err != nil {
		b.Fatal(err)
	}

	b.ReportMetric(float64(len(question)), "question-B")

	for b.Loop() {
		var ask PermitRequest
		if err := codec.Unmarshal(question, &ask); err != nil {
			b.Fatal(err)
		}

		reply := asker.HandleRequest(ask)
		if _, err := msgpack.Marshal(&reply); err != nil {
			b.Fatal(err)
		}
	}
}
