package standin_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/clock"
	"monsoonlever/provider"
	"monsoonlever/standin"
)

func TestAppendTellsWhetherItTookEffect(t *testing.T) {
	tests := []struct {
		desc    string
		fault   standin.FaultOrder
		refused bool
		records int
	}{
		{desc: "down", fault: standin.FaultOrder{Kind: standin.Down}, refused: true},
		{desc: "down without an answer", fault: standin.FaultOrder{Kind: standin.Down, Silent: true}},
		{desc: "answer lost", fault: standin.FaultOrder{Kind: standin.EffectWithoutAnswer}, records: 1},
		{
			desc:    "answer lost by chance",
			fault:   standin.FaultOrder{Kind: standin.EffectWithoutAnswer, Probability: 1},
			records: 1,
		},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			fake := standin.NewLog(clock.System{})
			log := provider.NewHTTPLog("http://"+serve(t, fake.Handler()), &http.Client{})

			apply(t, fake.Faults, tt.fault)
			_, err := log.Append(t.Context(), "s", []byte("x"))

			if err == nil {
				t.Fatal("append: got no error, want one")
			}

			if got := errors.Is(err, provider.ErrRefused); got != tt.refused {
				t.Errorf("refused: got %v (%v), want %v", got, err, tt.refused)
			}

			apply(t, fake.Faults, standin.FaultOrder{Kind: standin.Clear})

			batch, err := log.Read(t.Context(), "s", 1, 10, 0)
			if err != nil || len(batch.Records) != tt.records {
				t.Errorf("records: got %d, %v, want %d", len(batch.Records), err, tt.records)
			}
		})
	}
}

func TestAppendWithoutAConnectionIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	l.Close()

	log := provider.NewHTTPLog("http://"+l.Addr().String(), &http.Client{Transport: &http.Transport{}})
	if _, err := log.Append(t.Context(), "s", nil); !errors.Is(err, provider.ErrRefused) {
		t.Errorf("append: got %v, want %v", err, provider.ErrRefused)
	}
}

func TestAppendsAreThereUnlessRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := standin.NewLog(clock.NewManual(start))
		want := []byte{}

		for i := range rapid.IntRange(1, 40).Draw(t, "appends") {
			kind := rapid.SampledFrom([]standin.FaultKind{
				standin.Clear, standin.Down, standin.EffectWithoutAnswer,
			}).Draw(t, "fault")
			if err := fake.Faults.Apply(standin.FaultOrder{Kind: kind}); err != nil {
				t.Fatal(err)
			}

			offset, err := fake.Append(context.Background(), "s", []byte{byte(i)})
			if !errors.Is(err, provider.ErrRefused) {
				want = append(want, byte(i))
			}

			if err == nil && int(offset) != len(want) {
				t.Errorf("offset: got %d, want %d", offset, len(want))
			}

			if err := fake.Faults.Apply(standin.FaultOrder{Kind: standin.Clear}); err != nil {
				t.Fatal(err)
			}
		}

		batch, err := fake.Read(context.Background(), "s", 1, len(want)+1, 0)
		if err != nil || len(batch.Records) != len(want) {
			t.Fatalf("records: got %d, %v, want %d", len(batch.Records), err, len(want))
		}

		for i, record := range batch.Records {
			if record.Data[0] != want[i] {
				t.Errorf("record %d: got %d, want %d", i, record.Data[0], want[i])
			}
		}
	})
}

func TestReadOfWhatIsRetained(t *testing.T) {
	tests := []struct {
		desc       string
		maxAge     time.Duration
		maxRecords int
		from       provider.Offset
		limit      int
		want       []provider.Offset
		first      provider.Offset
	}{
		{desc: "all", from: 1, limit: 10, want: []provider.Offset{1, 2, 3, 4}, first: 1},
		{desc: "from zero", from: 0, limit: 10, want: []provider.Offset{1, 2, 3, 4}, first: 1},
		{desc: "limited", from: 2, limit: 2, want: []provider.Offset{2, 3}, first: 1},
		{desc: "beyond the end", from: 9, limit: 2, first: 1},
		{desc: "by count", maxRecords: 3, from: 1, limit: 10, want: []provider.Offset{2, 3, 4}, first: 2},
		{desc: "by age", maxAge: 2 * time.Minute, from: 1, limit: 10, want: []provider.Offset{3, 4}, first: 3},
		{desc: "none left", maxAge: time.Second, from: 1, limit: 10, first: 5},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := clock.NewManual(start)
			fake := standin.NewLog(c)
			fake.MaxAge = tt.maxAge
			fake.MaxRecords = tt.maxRecords

			for range 4 {
				if _, err := fake.Append(t.Context(), "s", nil); err != nil {
					t.Fatal(err)
				}

				c.Advance(time.Minute)
			}

			log := provider.NewHTTPLog("http://"+serve(t, fake.Handler()), &http.Client{})

			batch, err := log.Read(t.Context(), "s", tt.from, tt.limit, 0)
			if err != nil {
				t.Fatal(err)
			}

			if len(batch.Records) != len(tt.want) {
				t.Fatalf("records: got %v, want %v", batch.Records, tt.want)
			}

			for i, record := range batch.Records {
				if record.Offset != tt.want[i] {
					t.Errorf("offset: got %d, want %d", record.Offset, tt.want[i])
				}
			}

			if batch.First != tt.first || batch.Next != 5 {
				t.Errorf("first and next: got %d, %d, want %d, 5", batch.First, batch.Next, tt.first)
			}
		})
	}
}

func TestReadWaitsForARecord(t *testing.T) {
	tests := []struct {
		desc  string
		after time.Duration
		took  time.Duration
		want  int
	}{
		{desc: "appended in time", after: time.Second, took: time.Second, want: 1},
		{desc: "nothing in time", after: time.Minute, took: 10 * time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := standin.NewLog(clock.System{})

				go func() {
					time.Sleep(tt.after)
					fake.Append(t.Context(), "s", nil)
				}()

				began := time.Now()
				batch, err := fake.Read(t.Context(), "s", 1, 10, 10*time.Second)

				if err != nil || len(batch.Records) != tt.want {
					t.Errorf("records: got %d, %v, want %d", len(batch.Records), err, tt.want)
				}

				if got := time.Since(began); got != tt.took {
					t.Errorf("took: got %v, want %v", got, tt.took)
				}

				time.Sleep(tt.after)
			})
		})
	}
}

func TestFrozenAndSlowCallsGoOn(t *testing.T) {
	tests := []struct {
		desc  string
		fault standin.FaultOrder
		took  time.Duration
	}{
		{desc: "frozen", fault: standin.FaultOrder{Kind: standin.Freeze, Duration: standin.Duration(time.Minute)}, took: time.Minute},
		{desc: "slow", fault: standin.FaultOrder{Kind: standin.Slow, Delay: standin.Duration(time.Second)}, took: time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := standin.NewLog(clock.System{})
				apply(t, fake.Faults, tt.fault)

				began := time.Now()
				if _, err := fake.Append(t.Context(), "s", nil); err != nil {
					t.Errorf("append: got %v, want none", err)
				}

				if got := time.Since(began); got != tt.took {
					t.Errorf("took: got %v, want %v", got, tt.took)
				}
			})
		})
	}
}
