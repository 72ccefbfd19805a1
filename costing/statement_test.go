package costing_test

import (
	"testing"

	"pgregory.net/rapid"

	"monsoonlever/costing"
	"monsoonlever/fleet"
)

func TestStatementSharesMoneyByWork(t *testing.T) {
	large := costing.Key{Service: "ledger-llm", Account: "large"}
	small := costing.Key{Service: "ledger-llm", Account: "small"}
	s := costing.NewStatement()

	s.Charge("ledger-llm", 1)

	if got, want := s.Unshared("ledger-llm"), 1.0; got != want {
		t.Errorf("unshared: got %v, want %v", got, want)
	}

	s.Call(large, 300, true)
	s.Call(small, 100, false)
	s.Charge("ledger-llm", 3)

	for _, tt := range []struct {
		desc  string
		key   costing.Key
		money float64
		share float64
	}{
		{"three quarters of the work", large, 3, 1},
		{"a quarter of the work, late", small, 1, 0},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			if got := s.Entry(tt.key).Money; got != tt.money {
				t.Errorf("money: got %v, want %v", got, tt.money)
			}

			if got := s.Entry(tt.key).Share(); got != tt.share {
				t.Errorf("share within target: got %v, want %v", got, tt.share)
			}
		})
	}
}

func TestHoldsStatementLosesNoMoney(t *testing.T) {
	services := []fleet.Service{"ledger-llm", "payrun-api"}

	rapid.Check(t, func(t *rapid.T) {
		nodes := []*costing.Statement{costing.NewStatement(), costing.NewStatement()}
		charged := 0.0

		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			s := rapid.SampledFrom(nodes).Draw(t, "node")
			service := rapid.SampledFrom(services).Draw(t, "service")

			if rapid.Bool().Draw(t, "charge") {
				money := float64(rapid.IntRange(0, 9).Draw(t, "money"))
				charged += money
				s.Charge(service, money)

				continue
			}

			account := rapid.SampledFrom([]fleet.Account{"a", "b"}).Draw(t, "account")
			s.Call(costing.Key{Service: service, Account: account}, float64(rapid.IntRange(0, 9).Draw(t, "work")), true)
		}

		nodes[0].Merge(nodes[1])

		got := nodes[0].Unshared(services[0]) + nodes[0].Unshared(services[1])
		for _, key := range nodes[0].Keys() {
			got += nodes[0].Entry(key).Money
		}

		if got < charged-1e-6 || got > charged+1e-6 {
			t.Errorf("money: got %v, want %v", got, charged)
		}
	})
}
